#include "wigeonwalk/entry/revision_clock.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a daemon that, after a restart, takes weights that were named
// long ago for new ones and goes on using older weights past their time.
SCENARIO("the age of an item follows from the rate of revisions")
{
  RevisionClock clock;
  const TimePoint start(24h);
  clock.Note(5'000, start);

  THEN("it is unknown at first")
  {
    CHECK_FALSE(clock.AgeAtStart(4'000));
    clock.Note(5'030, start + 500ms);
    CHECK_FALSE(clock.AgeAtStart(4'000));
  }

  GIVEN("60 changes a second")
  {
    for (int i = 1; i <= 8; ++i) {
      clock.Note(5'000 + 30 * i, start + 500ms * i);
    }
    THEN("an item written 900 changes before the start is 15 s old")
    {
      CHECK(clock.AgeAtStart(4'100) == Duration(15s));
    }
    THEN("an item written after the start has no age")
    {
      CHECK(clock.AgeAtStart(5'010) == Duration(0));
    }
  }

  GIVEN("a registry that does not change")
  {
    clock.Note(5'000, start + 10s);
    THEN("no age is claimed")
    {
      CHECK_FALSE(clock.AgeAtStart(4'000));
    }
  }
}
