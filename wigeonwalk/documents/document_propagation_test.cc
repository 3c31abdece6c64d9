#include "wigeonwalk/documents/document_propagation.h"
#include "wigeonwalk/documents/test_member.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Twelve daemons, four in each of three zones, with one key-value service.
struct Fleet
{
  static constexpr std::size_t kCount = 12;

  Fleet()
  {
    this->network.SetDefaultLink({ 4ms, 3ms, 0.01 });
    this->Write(1);
    for (std::size_t i = 0; i < kCount; ++i) {
      this->members.push_back(this->Make(i, 100));
      this->members.back()->Start(Seeds());
    }
    this->Run(30s);
  }

  static MemberUpdate Describe(std::size_t aIndex, std::uint64_t aIncarnation)
  {
    const std::string number = std::to_string(aIndex);
    const std::array<const char*, 3> zones{ "isar", "lech", "inn" };
    return { HostId("entry-" + number),
             "10.0.0." + number + ":7000",
             AvailabilityZone(zones[aIndex % 3]),
             "south",
             aIncarnation,
             MemberState::Alive };
  }

  static std::vector<MemberUpdate> Seeds()
  {
    std::vector<MemberUpdate> seeds;
    for (std::size_t i = 0; i < kCount; ++i) {
      seeds.push_back(Describe(i, 0));
    }
    return seeds;
  }

  std::unique_ptr<TestMember<>> Make(std::size_t aIndex,
                                     std::uint64_t aIncarnation)
  {
    return std::make_unique<TestMember<>>(
      this->time, this->network, this->service, Describe(aIndex, aIncarnation));
  }

  // Writes a revision to the key-value service, as if another daemon had
  // accepted an edit.
  void Write(std::uint64_t aRevision)
  {
    const StoredDocument stored{ { ServiceName("orders"),
                                   aRevision,
                                   "edit",
                                   "orders\n" + std::to_string(aRevision) },
                                 {} };
    this->service.Store("documents/orders", this->codec.Encode(stored));
  }

  void Run(Duration aTime) { this->time.RunUntil(this->time.Now() + aTime); }

  // Returns the number of members that have a revision in force.
  std::size_t CountAt(std::uint64_t aRevision) const
  {
    std::size_t count = 0;
    for (const auto& member : this->members) {
      count += member->Revision("orders") == aRevision ? 1 : 0;
    }
    return count;
  }

  bool AnyRevisionRegressed() const
  {
    for (const auto& member : this->members) {
      if (member->log.regressed) {
        return true;
      }
    }
    return false;
  }

  VirtualTime time;
  PeerNetwork network{ this->time, 20261204 };
  FakeKeyValue service{ this->time };
  TestDocumentCodec codec;
  std::vector<std::unique_ptr<TestMember<>>> members;
};

} // namespace

// Guards against an edit that is not in force in some daemon within 6 s, and
// against a daemon that returns to an older revision.
SCENARIO("an accepted edit is in force everywhere within seconds",
         "[propagation]")
{
  Fleet fleet;
  REQUIRE(fleet.CountAt(1) == Fleet::kCount);

  WHEN("nothing fails")
  {
    fleet.Write(2);
    fleet.Run(6s);
    CHECK(fleet.CountAt(2) == Fleet::kCount);
  }
  WHEN("the watches of one zone report no changes")
  {
    for (std::size_t i = 0; i < Fleet::kCount; i += 3) {
      fleet.members[i]->keyValue.AddLinkFault(
        { KeyValueFault::QuietWatch, fleet.time.Now() });
    }
    fleet.Write(2);
    fleet.Run(6s);
    CHECK(fleet.CountAt(2) == Fleet::kCount);
  }
  WHEN("the pushes of an edit arrive after those of the next edit")
  {
    const DocumentPush late{
      { ServiceName("orders"), 2, "edit", "orders\n2" }
    };
    fleet.Write(2);
    fleet.Write(3);
    fleet.Run(6s);
    for (const auto& member : fleet.members) {
      CHECK_FALSE(member->propagation.OnPush(late).wasNew);
    }
    CHECK(fleet.CountAt(3) == Fleet::kCount);
  }
  WHEN("one daemon was paused for minutes during which an edit was accepted")
  {
    TestMember<>& paused = *fleet.members[4];
    const bool keyValueReached = GENERATE(true, false);
    CAPTURE(keyValueReached);
    if (!keyValueReached) {
      paused.keyValue.AddLinkFault({ KeyValueFault::Silent, fleet.time.Now() });
    }
    paused.endpoint.pausedUntil = fleet.time.Now() + 2min;
    fleet.Run(1min);
    fleet.Write(2);
    fleet.Run(59s);
    REQUIRE(paused.Revision("orders") == 1);
    fleet.Run(1s);
    THEN("it refuses requests until the new revision is in force")
    {
      for (int i = 0; i < 6000 && paused.Revision("orders") == 1; ++i) {
        CHECK_FALSE(MayServe(paused.propagation.CurrentFreshness()));
        fleet.Run(1ms);
      }
      CHECK(paused.Revision("orders") == 2);
      fleet.Run(3s);
      CHECK(paused.propagation.CurrentFreshness() == Freshness::Serve);
    }
  }
  CHECK_FALSE(fleet.AnyRevisionRegressed());
}

// Guards against daemons that lose documents, return to older revisions or stop
// serving while the key-value service is down or zones are partitioned.
SCENARIO("documents survive outages", "[propagation]")
{
  Fleet fleet;
  WHEN("the key-value service is down for ten minutes")
  {
    fleet.service.AddFault(
      { KeyValueFault::Down, fleet.time.Now(), fleet.time.Now() + 10min });
    const std::uint64_t before = fleet.service.CountAll();
    fleet.Run(10min);
    THEN("all continue serving, and make few calls to it")
    {
      for (const auto& member : fleet.members) {
        CHECK(member->propagation.CurrentFreshness() == Freshness::Serve);
      }
      // Six watchers. Each makes at most one call in 3.75 s, and a few more
      // during its first, shorter pauses.
      CHECK(fleet.service.CountAll() - before < 6 * 600 / 3);
    }
    AND_WHEN("it is available again")
    {
      fleet.Run(10s);
      fleet.Write(2);
      fleet.Run(6s);
      CHECK(fleet.CountAt(2) == Fleet::kCount);
    }
  }
  WHEN("a daemon is replaced during an outage of the key-value service")
  {
    fleet.service.AddFault({ KeyValueFault::Down, fleet.time.Now() });
    fleet.members[4]->endpoint.alive = false;
    fleet.Run(30s);
    auto next = fleet.Make(4, 200);
    next->Start(Fleet::Seeds());
    THEN("it serves as soon as it has the documents")
    {
      for (int i = 0; i < 10'000 && next->Revision("orders") != 1; ++i) {
        fleet.Run(1ms);
      }
      CHECK(next->propagation.CurrentFreshness() == Freshness::Serve);
    }
    fleet.Run(10s);
    THEN("it has the documents of its peers, with their confirmation")
    {
      CHECK(next->Revision("orders") == 1);
      CHECK(next->propagation.CurrentFreshness() == Freshness::Serve);
    }
  }
  WHEN("a zone is cut off from all others and the key-value service")
  {
    for (std::size_t i = 0; i < Fleet::kCount; i += 3) {
      fleet.members[i]->keyValue.AddLinkFault(
        { KeyValueFault::Down, fleet.time.Now(), fleet.time.Now() + 5h });
    }
    fleet.network.SetCut("isar", "lech", true);
    fleet.network.SetCut("isar", "inn", true);
    // Wait until watches that began before the partition have ended.
    fleet.Run(30s);
    fleet.Write(2);
    fleet.Run(2min);
    CHECK(fleet.CountAt(1) == 4);
    CHECK(fleet.members[0]->propagation.CurrentFreshness() == Freshness::Serve);
    THEN("it gets the edit when the partition ends")
    {
      fleet.network.SetCut("isar", "lech", false);
      fleet.network.SetCut("isar", "inn", false);
      fleet.Run(60s);
      CHECK(fleet.CountAt(2) == Fleet::kCount);
    }
  }
  WHEN("one daemon reaches neither peers nor the key-value service")
  {
    TestMember<>& alone = *fleet.members[0];
    alone.keyValue.AddLinkFault({ KeyValueFault::Silent, fleet.time.Now() });
    alone.endpoint.alive = false;
    fleet.Run(5s);
    CHECK(alone.propagation.CurrentFreshness() == Freshness::Serve);
    fleet.Run(5s);
    CHECK(alone.propagation.CurrentFreshness() == Freshness::FailHealthCheck);
    fleet.Run(25s);
    CHECK(alone.propagation.CurrentFreshness() == Freshness::RefuseIsolated);
  }
  CHECK_FALSE(fleet.AnyRevisionRegressed());
}
