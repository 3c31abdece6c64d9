#include "wigeonwalk/entry/store_cleaner.h"
#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/testing/null_log.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against freeing cache that a request may still fetch, and against
// stores that stay full of cache that no request can use.
SCENARIO("the cache of old weights is freed in stores")
{
  VirtualTime time;
  FakeRunnerControl control(time);
  EntryState state(MakeSettings("front-1"));
  FakeOrderAuthority leader;
  NullLog log;
  state.Apply(MakeConfiguration(), time.Now());
  AddRunners(state, control, 2);
  PartListing& listing = control.listings["store"];
  listing.complete = { { { CacheSalt(kModel, 1, ""), "old" }, 100 },
                       { { CacheSalt(kModel, 2, ""), "new" }, 100 },
                       { { "foreign", "x" }, 100 } };
  listing.incomplete = { { CacheSalt(kModel, 1, "wall"), "broken" } };
  StoreCleaner cleaner(state, leader, control, time, log);
  time.Spawn(cleaner.Run());
  const auto load = [&](const char* aRunner) {
    state.fleet.Find(UpstreamId(aRunner))->SetVersion(kModel, 2);
  };
  time.RunUntil(time.Now() + 5s);
  CHECK(control.freed.empty());

  WHEN("a runner still has the old weights")
  {
    load("r-0");
    time.RunUntil(time.Now() + 20s);
    CHECK(control.freed.empty());
  }

  WHEN("all runners have the new weights")
  {
    load("r-0");
    load("r-1");
    time.RunUntil(time.Now() + 900ms);
    CHECK(control.freed.empty());
    time.RunUntil(time.Now() + 2s);

    THEN("only the cache of older weights is freed")
    {
      CHECK(control.freed ==
            std::vector<std::string>{
              "store " + CacheSalt(kModel, 1, "") + " old",
              "store " + CacheSalt(kModel, 1, "wall") + " broken" });
    }
  }

  WHEN("this daemon may not give orders")
  {
    leader.fenced = true;
    load("r-0");
    load("r-1");
    time.RunUntil(time.Now() + 10s);
    CHECK(control.freed.empty());
  }
}
