#include "wigeonwalk/fleet/requested_pause.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a pause that ends too early, and against all requests that
// were held back being sent at its end.
SCENARIO("a requested pause ends with a few requests")
{
  const TimePoint now(1h);
  RequestedPause pause;
  CHECK(pause.Admits(now));
  REQUIRE(pause.Extend(now + 1s, 0.5));
  const TimePoint admitsFrom = now + 1s + RequestedPause::kMaxSpread / 2;

  GIVEN("an earlier end")
  {
    CHECK_FALSE(pause.Extend(now + 500ms, 0));
    CHECK(pause.IsPaused(now + 999ms));
  }

  GIVEN("the end")
  {
    CHECK_FALSE(pause.Admits(admitsFrom - 1ms));
    for (std::uint32_t i = 0; i < RequestedPause::kFirstRequests; ++i) {
      CHECK(pause.Admits(admitsFrom));
      pause.NoteSent(admitsFrom);
    }
    CHECK_FALSE(pause.Admits(admitsFrom));
    CHECK(pause.AdmitsFrom() == admitsFrom + RequestedPause::kFirstWindow);

    WHEN("one of the first requests is taken")
    {
      pause.NoteTaken(admitsFrom);
      CHECK(pause.Admits(admitsFrom));
    }
    WHEN("a request that was sent before the pause succeeds")
    {
      pause.NoteTaken(now);
      CHECK_FALSE(pause.Admits(admitsFrom));
    }
    WHEN("none is answered")
    {
      CHECK(pause.Admits(admitsFrom + RequestedPause::kFirstWindow));
    }
    WHEN("the runner asks for another pause")
    {
      CHECK(pause.Extend(admitsFrom + 1s, 0));
      CHECK_FALSE(pause.Admits(admitsFrom + RequestedPause::kFirstWindow));
      CHECK(pause.Admits(admitsFrom + 1s));
    }
  }
}
