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
  RoutingConfiguration configuration = MakeConfiguration();
  const OrganisationId lace("lace");
  configuration.organisations = { { lace, { "k" }, std::nullopt, true } };
  state.Apply(configuration, time.Now());
  const std::string shared = state.Routes()->Domains().Of(nullptr);
  const std::string isolated = state.Routes()->Domains().Of(&lace);
  AddRunners(state, control, 2);
  PartListing& listing = control.listings["store"];
  listing.complete = { { { CacheSalt(kModel, 1, shared), "old" }, 100 },
                       { { CacheSalt(kModel, 2, shared), "new" }, 100 },
                       { { "foreign", "x" }, 100 } };
  listing.incomplete = { { CacheSalt(kModel, 1, isolated), "broken" } };
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
              "store " + CacheSalt(kModel, 1, shared) + " old",
              "store " + CacheSalt(kModel, 1, isolated) + " broken" });
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

// Guards against stores that stay full of cache that no request can use, after
// an organisation became isolated, and against freeing it under a fetch.
SCENARIO("the cache of former domains is freed in stores")
{
  VirtualTime time;
  FakeRunnerControl control(time);
  EntryState state(MakeSettings("front-1"));
  FakeOrderAuthority leader;
  NullLog log;
  RoutingConfiguration configuration = MakeConfiguration();
  Route route;
  route.timeout = 6s;
  configuration.routes = { route };
  configuration.organisations = { { OrganisationId("lace"), { "k" } } };
  state.Apply(configuration, time.Now());
  AddRunners(state, control, 1);
  PartListing& listing = control.listings["store"];
  listing.complete = { { { CacheSalt(kModel, 1, ""), "shared" }, 100 },
                       { { "foreign", "x" }, 100 } };
  StoreCleaner cleaner(state, leader, control, time, log);
  time.Spawn(cleaner.Run());
  const auto configure = [&](bool aIsIsolated) {
    ++configuration.version;
    configuration.organisations[0].isolated = aIsIsolated;
    state.Apply(configuration, time.Now());
  };
  time.RunUntil(time.Now() + 20s);
  CHECK(control.freed.empty());

  WHEN("an organisation becomes isolated")
  {
    configure(true);
    const OrganisationId lace("lace");
    const CacheDomains& domains = state.Routes()->Domains();
    listing.complete.push_back(
      { { CacheSalt(kModel, 1, domains.Of(&lace)), "own" }, 100 });
    listing.complete.push_back(
      { { CacheSalt(kModel, 1, domains.Of(nullptr)), "others" }, 100 });
    time.RunUntil(time.Now() + 7'500ms);
    THEN("its former domain is kept while requests may still fetch from it")
    {
      CHECK(control.freed.empty());
    }

    AND_WHEN("requests that were placed before have ended")
    {
      time.RunUntil(time.Now() + 2s);
      THEN("only the former domain is freed")
      {
        CHECK(control.freed ==
              std::vector<std::string>{ "store " + CacheSalt(kModel, 1, "") +
                                        " shared" });
      }
    }

    AND_WHEN("it is opened again meanwhile")
    {
      configure(false);
      time.RunUntil(time.Now() + 6s);
      THEN("the domain that is used again is kept")
      {
        CHECK(control.freed.empty());
      }
    }
  }
}
