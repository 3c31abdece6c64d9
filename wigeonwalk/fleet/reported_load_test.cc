#include "wigeonwalk/fleet/reported_load.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against daemons of a large cluster that take a full runner for an
// empty one, because they don't know the requests of most others.
SCENARIO("a runner's report shows the requests of all daemons")
{
  const TimePoint now(24h);
  Fleet fleet;
  for (const char* id : { "r-1", "r-2" }) {
    RunnerEntry entry;
    entry.id = UpstreamId(id);
    entry.service = ServiceName("engines");
    fleet.Register(entry);
  }
  const auto runner = fleet.Find(UpstreamId("r-1"));
  runner->inFlight = 2;
  runner->tokensInFlight = 20'000;
  runner->othersInFlight = 1;
  runner->othersTokensInFlight = 10'000;
  ReportedLoads loads;
  const RunnerKey key = KeyOfRunner(UpstreamId("r-1"));

  WHEN("the report shows more than the daemons told each other")
  {
    loads.Record(MakeReportedLoad(key, 80'000, 8, 2, now - 300ms));
    loads.ApplyTo(fleet, now);

    THEN("the others' load is the rest, with waiting requests")
    {
      CHECK(runner->othersTokensInFlight == 80'000);
      CHECK(runner->othersInFlight == 8);
      CHECK(fleet.Find(UpstreamId("r-2"))->othersTokensInFlight == 0);
    }
  }

  WHEN("the report shows less")
  {
    loads.Record({ key, 5'000, 1, now - 300ms });
    loads.ApplyTo(fleet, now);
    THEN("what daemons told each other counts")
    {
      CHECK(runner->othersTokensInFlight == 10'000);
      CHECK(runner->othersInFlight == 1);
    }
  }

  WHEN("the report is old")
  {
    loads.Record({ key, 80'000, 8, now - 3s });
    loads.ApplyTo(fleet, now);
    THEN("it is ignored")
    {
      CHECK(runner->othersTokensInFlight == 10'000);
      CHECK(loads.Busiest(9, now).empty());
    }
  }

  WHEN("reports arrive out of order")
  {
    loads.Record({ key, 80'000, 8, now - 100ms });
    loads.Record({ key, 40'000, 4, now - 400ms });
    THEN("the newest one counts")
    {
      CHECK(loads.Busiest(9, now).front().tokens == 80'000);
    }
  }

  WHEN("only the busiest are passed on")
  {
    for (RunnerKey other = 1; other <= 5; ++other) {
      loads.Record({ other, other * 1'000, 1, now });
    }
    const auto busiest = loads.Busiest(2, now);
    THEN("they have the most memory in use")
    {
      REQUIRE(busiest.size() == 2);
      CHECK(busiest[0].tokens == 5'000);
      CHECK(busiest[1].tokens == 4'000);
    }
    THEN("a daemon that gets them forgets all others")
    {
      ReportedLoads replaced;
      replaced.Record({ key, 80'000, 8, now });
      replaced.Replace(busiest);
      CHECK(replaced.Busiest(9, now).size() == 2);
    }
  }
}
