#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/part_index.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 24h };

RunnerEntry
MakeEntry(const std::string& aId)
{
  RunnerEntry entry;
  entry.id = UpstreamId(aId);
  entry.service = ServiceName("engines");
  entry.address = "10.0.0.1:8000";
  entry.zone = AvailabilityZone("north");
  entry.slots = 4;
  entry.startedAt = 1'000;
  entry.models = { { ModelName("m"), 1 } };
  return entry;
}

} // namespace

// Guards against requests to runners that are leaving or removed, and against
// dropping runners whose registration only expired in an outage.
SCENARIO("the fleet follows registrations")
{
  Fleet fleet;
  const ServiceName service("engines");
  const RunnerEntry entry = MakeEntry("r-1");
  REQUIRE(fleet.Register(entry) == FleetChange::Added);

  GIVEN("a runner that is ready for requests")
  {
    THEN("it gets requests, and a repeated registration changes nothing")
    {
      CHECK(fleet.Register(entry) == FleetChange::None);
      CHECK(fleet.RunnersOf(service).size() == 1);
      CHECK(fleet.RunnersOf(ServiceName("other")).empty());
    }

    WHEN("it registers as leaving")
    {
      RunnerEntry leaving = entry;
      leaving.state = RunnerState::Leaving;
      CHECK(fleet.Register(leaving) == FleetChange::StartedLeaving);

      THEN("it gets no requests, even if an older state is reported again")
      {
        CHECK(fleet.RunnersOf(service).empty());
        CHECK(fleet.Register(entry) == FleetChange::Updated);
        CHECK(fleet.RunnersOf(service).empty());
      }

      THEN("it gets requests again after a restart")
      {
        RunnerEntry next = entry;
        next.startedAt = 2'000;
        CHECK(fleet.Register(next) == FleetChange::Restarted);
        CHECK(fleet.RunnersOf(service).size() == 1);
      }
    }

    WHEN("it is removed without a recent outage of the registry")
    {
      CHECK(fleet.Unregister(entry.id, kStart + 60s) == FleetChange::Removed);

      THEN("it is dropped at once")
      {
        CHECK(fleet.RunnersOf(service).empty());
        CHECK(fleet.Find(entry.id) == nullptr);
      }
    }

    WHEN("its registration is missing right after an outage")
    {
      fleet.NoteRegistryReturned(kStart + 60s);
      CHECK(fleet.Unregister(entry.id, kStart + 61s) == FleetChange::Missing);
      CHECK(fleet.RunnersOf(service).size() == 1);

      THEN("it is kept if it registers again")
      {
        fleet.Register(entry);
        CHECK(fleet.Expire(kStart + 70s).empty());
        CHECK(fleet.RunnersOf(service).size() == 1);
      }

      THEN("it is removed if it does not")
      {
        // It counts as gone even before the next call of Expire.
        CHECK(fleet.Find(entry.id)->IsGone(kStart + 62s + 300ms));
        CHECK(fleet.Expire(kStart + 62s).empty());
        CHECK(fleet.Expire(kStart + 62s + 300ms).size() == 1);
        CHECK(fleet.RunnersOf(service).empty());
      }
    }

    WHEN("it has loaded newer weights than its last registration contains")
    {
      fleet.Find(entry.id)->SetVersion(ModelName("m"), 3);
      RunnerEntry late = entry;
      late.slots = 5;
      fleet.Register(late);

      THEN("the newer version is kept")
      {
        CHECK(fleet.Find(entry.id)->VersionOf(ModelName("m")) == 3);
      }
    }
  }
}

// Guards against load that is counted twice or never released.
TEST_CASE("a load counts until it is destroyed")
{
  const auto runner = std::make_shared<Runner>();
  {
    RunnerLoad first(runner, 100, 60);
    RunnerLoad second(runner, 50, 50);
    CHECK(runner->inFlight == 2);
    CHECK(runner->tokensInFlight == 150);
    CHECK(runner->tokensToPrefill == 110);
    first.NotePrefillDone();
    first.NotePrefillDone();
    CHECK(runner->tokensToPrefill == 50);
  }
  CHECK(runner->inFlight == 0);
  CHECK(runner->tokensInFlight == 0);
  CHECK(runner->tokensToPrefill == 0);
}

// Guards against a failed runner that is tried by every request, or never
// again.
TEST_CASE("a failed runner is avoided for a while")
{
  RunnerHealth health;
  health.NoteFailure(kStart);
  CHECK(health.IsAvoided(kStart + 200ms));
  CHECK_FALSE(health.IsAvoided(kStart + 300ms));

  SECTION("longer after each further failure, up to a limit")
  {
    for (int i = 0; i < 20; ++i) {
      health.NoteFailure(kStart);
    }
    CHECK(health.IsAvoided(kStart + 1'900ms));
    CHECK_FALSE(health.IsAvoided(kStart + 2'100ms));
  }

  SECTION("but no longer after a success; its failure rate decays")
  {
    CHECK(health.FailureRate(kStart) > 0.1);
    health.NoteSuccess(20ms, kStart);
    CHECK_FALSE(health.IsAvoided(kStart));
    CHECK(health.FailureRate(kStart + 20s) < 0.01);
    CHECK(health.Latency() == 20ms);
  }
}

// Guards against fetches from holders that no longer have a part.
TEST_CASE("the index knows who holds a part")
{
  PartIndex index;
  const UpstreamId one("r-1");
  const UpstreamId two("r-2");
  const PartKey part = KeyOfPart("salt", "p");
  index.Set(one, part, 100);
  index.Set(two, part, 40);
  index.Set(one, part, 120);
  CHECK(index.TokensAt(one, part) == 120);
  CHECK(index.HoldersOf(part).size() == 2);
  CHECK(index.TokensOf(one) == 120);

  SECTION("until it is evicted")
  {
    index.Set(one, part, 0);
    CHECK(index.TokensAt(one, part) == 0);
    CHECK(index.TokensOf(one) == 0);
  }

  SECTION("or its holder is forgotten")
  {
    index.Forget(two);
    index.Forget(one);
    CHECK(index.Parts() == 0);
  }

  SECTION("or its parts exceed its capacity: the oldest are dropped first")
  {
    index.Set(one, KeyOfPart("salt", "q"), 50);
    index.Set(one, KeyOfPart("salt", "r"), 30);
    index.Set(one, part, 120);
    index.Trim(one, 160);
    CHECK(index.TokensAt(one, KeyOfPart("salt", "q")) == 0);
    CHECK(index.TokensAt(one, KeyOfPart("salt", "r")) == 30);
    CHECK(index.TokensAt(one, part) == 120);
    CHECK(index.TokensAt(two, part) == 40);
    CHECK(index.TokensOf(one) == 150);
  }

  SECTION("and keeps salts apart")
  {
    CHECK(KeyOfPart("salt", "p") != KeyOfPart("salt2", "p"));
    CHECK(KeyOfPart("a", "bc") != KeyOfPart("ab", "c"));
  }
}

// Guards against a stream that goes on at another version of the software,
// because another writer's entry has changed the version of a runner's start.
SCENARIO("the software version of a runner's start does not change")
{
  Fleet fleet;
  RunnerEntry entry = MakeEntry("r-1");
  entry.softwareVersion = "v1";
  fleet.Register(entry);
  const auto runner = fleet.Find(entry.id);
  REQUIRE(runner->SoftwareVersion() == "v1");

  WHEN("a later entry lacks it")
  {
    entry.softwareVersion.clear();
    entry.slots += 1;
    fleet.Register(fleet.Complete(entry));
    CHECK(runner->SoftwareVersion() == "v1");
  }

  WHEN("a later entry has another one")
  {
    entry.softwareVersion = "v2";
    fleet.Register(fleet.Complete(entry));

    THEN("it is unknown from then on")
    {
      CHECK(runner->SoftwareVersion().empty());
      entry.softwareVersion = "v1";
      fleet.Register(fleet.Complete(entry));
      CHECK(runner->SoftwareVersion().empty());
    }
  }

  WHEN("the runner starts again with another version")
  {
    entry.startedAt += 1;
    entry.softwareVersion = "v2";
    fleet.Register(fleet.Complete(entry));
    CHECK(fleet.Find(entry.id)->SoftwareVersion() == "v2");
    CHECK(runner->SoftwareVersion() == "v1");
  }
}
