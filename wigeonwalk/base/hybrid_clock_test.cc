#include "wigeonwalk/base/hybrid_clock.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against timelines on which an effect precedes its cause.
SCENARIO("a hybrid clock orders cause before effect", "[clock]")
{
  const TimePoint now(1h);
  HybridClock clock;
  const HybridTime first = clock.Tick(now);

  GIVEN("a second event in the same microsecond")
  {
    CHECK(clock.Tick(now) > first);
  }
  GIVEN("a message from a host whose clock runs ahead")
  {
    const HybridTime remote{ now + 5s, 7 };
    const HybridTime received = clock.Observe(remote, now);
    THEN("its receipt and all later events follow it")
    {
      CHECK(received > remote);
      CHECK(clock.Tick(now + 1s) > received);
    }
  }
  GIVEN("a message from a host whose clock is wrong by a day")
  {
    clock.Observe({ now + 24h, 0 }, now);
    THEN("the local clock does not follow it")
    {
      CHECK(clock.Tick(now + 1s).physical == now + 1s);
    }
  }
}
