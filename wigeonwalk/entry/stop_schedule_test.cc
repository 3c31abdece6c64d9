#include "wigeonwalk/entry/stop_schedule.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

SCENARIO("a graceful shutdown proceeds in stages", "[entry]")
{
  const TimePoint begunAt = TimePoint() + 100s;

  GIVEN("a grace period of any length")
  {
    const Duration grace =
      GENERATE(100ms, 500ms, 2'000ms, 8'000ms, 60'000ms, 86'400'000ms);
    const StopSchedule stop(begunAt, grace);

    THEN("the stages follow each other within it")
    {
      CHECK(begunAt < stop.RefuseAt());
      CHECK(stop.RefuseAt() < stop.AnswerBy());
      CHECK(stop.AnswerBy() < stop.ExitBy());
      CHECK(stop.ExitBy() < begunAt + grace);
    }
    THEN("the process exits once no request is open, but not before it refuses")
    {
      CHECK_FALSE(stop.MayExit(0, stop.RefuseAt() - 1ms));
      CHECK(stop.MayExit(0, stop.RefuseAt()));
      CHECK_FALSE(stop.MayExit(1, stop.AnswerBy()));
      CHECK(stop.MayExit(1, stop.ExitBy()));
    }
  }

  GIVEN("a long grace period")
  {
    const StopSchedule stop(begunAt, 60s);

    THEN("new requests are taken until the load balancer has noticed")
    {
      CHECK(stop.RefuseAt() == begunAt + StopSchedule::kBalancerDelay);
    }
    THEN("most of it is left to open requests")
    {
      CHECK(stop.AnswerBy() == begunAt + 59'500ms);
    }
  }

  GIVEN("a request that arrives during the stop")
  {
    const StopSchedule stop(begunAt, 8s);

    WHEN("its deadline is before the end")
    {
      THEN("it is taken")
      {
        CHECK(stop.Takes(stop.AnswerBy(), false));
        CHECK(stop.Takes(stop.AnswerBy(), true));
      }
    }
    WHEN("its deadline is beyond the end")
    {
      THEN("it is taken only if it may run again")
      {
        CHECK_FALSE(stop.Takes(stop.AnswerBy() + 1ms, false));
        CHECK(stop.Takes(stop.AnswerBy() + 1ms, true));
      }
    }
  }
}
