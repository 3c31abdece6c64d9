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
