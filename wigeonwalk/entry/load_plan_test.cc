#include "wigeonwalk/entry/load_plan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 24h };

PendingLoad
MakePending(const std::string& aRunner, Duration aUsable, Duration aSpent = 0s)
{
  return { UpstreamId(aRunner), kStart + aUsable, aSpent };
}

std::string
Sorted(std::vector<PendingLoad> aPending)
{
  std::sort(aPending.begin(), aPending.end(), LoadsBefore);
  std::string ids;
  for (const PendingLoad& load : aPending) {
    ids += load.runner.Text();
  }
  return ids;
}

} // namespace

// Guards against loads in an order that lets weights run out, and against a
// failing runner that blocks the others.
SCENARIO("the order of loads")
{
  CHECK(Sorted({ MakePending("b", 5s), MakePending("a", 5s) }) == "ab");
  CHECK(Sorted({ MakePending("a", 9s), MakePending("b", 1s) }) == "ba");

  WHEN("the runner whose weights run out first has failed")
  {
    THEN("it still comes before those with much more time")
    {
      CHECK(Sorted({ MakePending("a", 9s), MakePending("b", 1s, 3s) }) == "ba");
    }
    THEN("it comes after those that run out at the same time")
    {
      CHECK(Sorted({ MakePending("a", 1s, 1s), MakePending("b", 1s) }) == "ba");
    }
    THEN("it comes last once its attempts have taken the time between them")
    {
      CHECK(Sorted({ MakePending("a", 9s), MakePending("b", 1s, 9s) }) == "ab");
    }
  }
}

// Guards against loads that finish after the weights have run out, and against
// more loads at once than that needs.
SCENARIO("the number of loads at once")
{
  constexpr ExpectedLoad kLoad{ 2s, 0s };
  const auto limits = [](std::size_t aCount, Duration aLimit) {
    return std::vector<TimePoint>(aCount, kStart + aLimit);
  };

  GIVEN("no load in progress")
  {
    CHECK(LoadsNeeded({}, {}, kLoad, kStart) == 0);
    CHECK(LoadsNeeded(limits(1, 10s), {}, kLoad, kStart) == 1);
    CHECK(LoadsNeeded(limits(5, 10s), {}, kLoad, kStart) == 1);
    CHECK(LoadsNeeded(limits(6, 10s), {}, kLoad, kStart) == 2);
    CHECK(LoadsNeeded(limits(60, 10s), {}, kLoad, kStart) == 12);
  }

  GIVEN("runners that can't load in time any more")
  {
    CHECK(LoadsNeeded(limits(4, 1s), {}, kLoad, kStart) == 4);
    CHECK(LoadsNeeded(limits(4, -1s), {}, kLoad, kStart) == 4);
  }

  GIVEN("loads that take twice or half of the expected time")
  {
    THEN("they are planned to end well before the limit")
    {
      constexpr ExpectedLoad kVaries{ 2s, 1s };
      CHECK(LoadsNeeded(limits(6, 10s), {}, kVaries, kStart) == 2);
      CHECK(LoadsNeeded(limits(60, 10s), {}, kVaries, kStart) == 15);
    }
  }

  GIVEN("runners whose weights run out at different times")
  {
    std::vector<TimePoint> mixed = limits(4, 4s);
    const std::vector<TimePoint> later = limits(10, 40s);
    mixed.insert(mixed.end(), later.begin(), later.end());
    THEN("the earliest ones determine the number")
    {
      CHECK(LoadsNeeded(mixed, {}, kLoad, kStart) == 2);
    }
  }

  GIVEN("loads in progress")
  {
    const std::vector<TimePoint> loading(2, kStart - 1s);
    THEN("none is added if those can be followed by the others in time")
    {
      CHECK(LoadsNeeded(limits(8, 9s), loading, kLoad, kStart) == 2);
      CHECK(LoadsNeeded(limits(9, 9s), loading, kLoad, kStart) == 3);
    }
    THEN("late ones raise the number")
    {
      const std::vector<TimePoint> late(2, kStart - 6s);
      CHECK(LoadsNeeded(limits(8, 9s), late, kLoad, kStart) > 2);
    }
  }
}

// Guards against an estimate that learns of slow loads only after they ended.
SCENARIO("the expected time of a load")
{
  LoadTimeEstimate estimate(1s);
  CHECK(estimate.Expected({}, kStart).time == 1s);
  CHECK(estimate.Expected({ kStart - 3s }, kStart).time == 3s);

  WHEN("loads were measured")
  {
    estimate.Record(2s);
    CHECK(estimate.Expected({}, kStart).time == 2s);
    CHECK(estimate.Expected({ kStart - 1s }, kStart).time == 2s);
    THEN("a single late one raises the estimate by less than many")
    {
      const Duration one = estimate.Expected({ kStart - 8s }, kStart).time;
      const Duration many =
        estimate.Expected(std::vector<TimePoint>(9, kStart - 8s), kStart).time;
      CHECK(one < 4s);
      CHECK(many > 7s);
    }
    THEN("slow loads raise it")
    {
      estimate.Record(4s);
      CHECK(estimate.Expected({}, kStart).time > 2s);
      CHECK(estimate.Expected({}, kStart).deviation > 0s);
    }
  }
}
