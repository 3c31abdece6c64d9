#include "wigeonwalk/fleet/fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1h };

RunnerEntry
Entry(const std::string& aId, std::int64_t aStart)
{
  RunnerEntry entry;
  entry.id = UpstreamId(aId);
  entry.service = ServiceName("s");
  entry.startedAt = aStart;
  return entry;
}

void
AddAndRemove(Fleet& aFleet, const RunnerEntry& aEntry, TimePoint aNow)
{
  aFleet.Register(aEntry);
  aFleet.Unregister(aEntry.id, aNow);
}

} // namespace

// Guards against memory that grows with each runner that ever existed.
SCENARIO("a fleet remembers a limited number of former starts")
{
  Fleet fleet;
  const std::size_t count = Fleet::kMaxFormer + 10;
  for (std::size_t i = 0; i < count; ++i) {
    const TimePoint now = kStart + std::chrono::milliseconds(i);
    AddAndRemove(fleet, Entry("r-" + std::to_string(i), 7), now);
  }
  CHECK(fleet.FormerCount() == Fleet::kMaxFormer);

  THEN("the oldest ones are forgotten first")
  {
    fleet.RegisterRestored(Entry("r-9", 7), kStart + 10s);
    CHECK(fleet.Find(UpstreamId("r-9"))->TakesRequests(kStart + 10s));
    fleet.RegisterRestored(Entry("r-10", 7), kStart + 10s);
    CHECK(!fleet.Find(UpstreamId("r-10"))->TakesRequests(kStart + 10s));
  }

  THEN("all are forgotten after some time")
  {
    fleet.Expire(kStart + 10s + Fleet::kFormerRetention);
    CHECK(fleet.FormerCount() == 0);
  }
}

// Guards against runners that are mistaken for their former starts.
SCENARIO("a registration is compared with former starts")
{
  Fleet fleet;
  const UpstreamId id("r-1");

  WHEN("the start is unknown")
  {
    AddAndRemove(fleet, Entry("r-1", 0), kStart);
    fleet.RegisterRestored(Entry("r-1", 0), kStart);
    CHECK(fleet.FormerCount() == 0);
    CHECK(fleet.Find(id)->TakesRequests(kStart));
  }

  WHEN("a runner is marked as leaving while it is missing")
  {
    fleet.NoteRegistryReturned(kStart);
    fleet.Register(Entry("r-1", 7));
    REQUIRE(fleet.Unregister(id, kStart) == FleetChange::Missing);
    fleet.Find(id)->leaving = true;
    REQUIRE(fleet.Expire(kStart + Fleet::kReregistrationGrace).size() == 1);

    THEN("it gets no requests when it registers again")
    {
      CHECK(fleet.Register(Entry("r-1", 7)) == FleetChange::Added);
      CHECK(!fleet.Find(id)->TakesRequests(kStart + 1h));
    }

    THEN("its next start gets some")
    {
      CHECK(fleet.Register(Entry("r-1", 8)) == FleetChange::Added);
      CHECK(fleet.Find(id)->TakesRequests(kStart));
      CHECK(fleet.Register(Entry("r-1", 7)) == FleetChange::None);
      CHECK(fleet.Find(id)->entry.startedAt == 8);
    }
  }

  WHEN("another writer's entry replaced that of a running one for a moment")
  {
    fleet.Register(Entry("r-1", 7));
    const auto running = fleet.Find(id);
    REQUIRE(fleet.Register(Entry("r-1", 0)) == FleetChange::Restarted);
    fleet.NoteReplaced(*running, kStart);

    THEN("its next registration counts")
    {
      CHECK(fleet.Register(Entry("r-1", 7)) == FleetChange::Restarted);
      CHECK(fleet.Find(id)->TakesRequests(kStart));
    }

    THEN("one from an older copy of the registry does not")
    {
      CHECK(fleet.RegisterRestored(Entry("r-1", 7), kStart) ==
            FleetChange::None);
    }
  }

  WHEN("a runner is listed again and again by restored registries")
  {
    AddAndRemove(fleet, Entry("r-1", 7), kStart);
    fleet.RegisterRestored(Entry("r-1", 7), kStart);
    fleet.RegisterRestored(Entry("r-1", 7), kStart + 2s);
    const auto runner = fleet.Find(id);
    CHECK(!runner->TakesRequests(kStart + Fleet::kMaxSilence + 1s));
    CHECK(runner->TakesRequests(kStart + Fleet::kMaxSilence + 2s));
    CHECK(fleet.Register(Entry("r-1", 7)) == FleetChange::Updated);
    CHECK(runner->TakesRequests(kStart + 2s));
    CHECK(fleet.Register(Entry("r-1", 7)) == FleetChange::None);
  }
}
