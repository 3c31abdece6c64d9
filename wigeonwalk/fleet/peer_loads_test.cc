#include "wigeonwalk/fleet/peer_loads.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against loads that are counted twice or never given up, which make
// runners look full.
SCENARIO("loads of other daemons are summed for each runner")
{
  const TimePoint now = TimePoint() + 100s;
  const HostId one("front-1");
  const HostId two("front-2");
  const std::map<HostId, EntryMember> members{ { one, {} }, { two, {} } };
  const std::map<HostId, EntryMember> onlyTwo{ { two, {} } };
  RunnerEntry entry;
  entry.id = UpstreamId("r-1");
  Fleet fleet;
  fleet.Register(entry);
  const Runner& runner = *fleet.Find(entry.id);
  PeerLoads loads;
  loads.Book(one, { entry.id, 17'060, 1, now + 2s }, fleet);
  loads.Book(two, { entry.id, 34'120, 2, now + 2s }, fleet);
  CHECK(runner.othersInFlight == 3);
  CHECK(runner.othersTokensInFlight == 51'180);

  THEN("an end is subtracted at once")
  {
    loads.Book(two, { entry.id, 17'060, 1, now + 2s }, fleet);
    CHECK(runner.othersInFlight == 2);
    CHECK(runner.othersTokensInFlight == 34'120);
  }

  THEN("a report of all requests replaces what was announced")
  {
    loads.Record(one, { { { entry.id, 2, 17'443 } } }, ReportScope::All, now);
    loads.ApplyTo(fleet, { members }, now);
    CHECK(runner.othersInFlight == 4);
    CHECK(runner.othersTokensInFlight == 51'563);
    loads.ApplyTo(fleet, { members }, now + PeerLoads::kReportLifetime + 1ms);
    CHECK(runner.othersInFlight == 2);
  }

  THEN("a report of short requests adds to what was announced")
  {
    const LoadMembers both{ members, ReportScope::ShortRequests, 1 };
    loads.Record(one, { { { entry.id, 2, 766 } } }, both.scope, now);
    loads.ApplyTo(fleet, both, now);
    CHECK(runner.othersInFlight == 5);
    CHECK(runner.othersTokensInFlight == 51'946);
  }

  THEN("short requests of daemons that don't report are estimated")
  {
    std::map<HostId, EntryMember> many = members;
    for (int i = 3; i <= 20; ++i) {
      many[HostId("front-" + std::to_string(i))] = {};
    }
    const LoadMembers most{ many, ReportScope::ShortRequests, 1 };
    loads.Record(one, { { { entry.id, 2, 766 } } }, most.scope, now);
    loads.ApplyTo(fleet, most, now);
    // Two daemons of twenty have two short requests there.
    CHECK(runner.othersInFlight == 5 + 18);
    CHECK(runner.othersTokensInFlight == 51'946 + 18 * 383);
  }

  THEN("those of a daemon that is gone don't count")
  {
    loads.ApplyTo(fleet, { onlyTwo }, now);
    CHECK(runner.othersInFlight == 2);
  }

  THEN("a runner that registers again starts without any")
  {
    ++entry.startedAt;
    fleet.Register(entry);
    loads.Book(two, { entry.id, 17'060, 1, now + 2s }, fleet);
    CHECK(fleet.Find(entry.id)->othersInFlight == 1);
  }
}

// Guards against daemons of a large zone that get no load reports, because
// every daemon reports to only a few others.
SCENARIO("loads are sent to the next members in host order")
{
  std::vector<EntryMember> members;
  for (int i = 10; i < 27; ++i) {
    members.push_back({ HostId("front-" + std::to_string(i)),
                        AvailabilityZone("north"),
                        "address" });
  }

  THEN("each member gets reports from equally many others")
  {
    std::map<HostId, int> reportCounts;
    for (const EntryMember& self : members) {
      std::vector<EntryMember> others = members;
      std::erase_if(others, [&self](const EntryMember& aMember) {
        return aMember.host == self.host;
      });
      for (const auto& told : NearestMembers(self.host, self.zone, others, 8)) {
        ++reportCounts[told.host];
      }
    }
    CHECK(reportCounts.size() == members.size());
    for (const auto& [host, count] : reportCounts) {
      CHECK(count == 8);
    }
  }

  THEN("members of other zones get them only if there is space for more")
  {
    members.resize(5);
    for (int i = 30; i < 39; ++i) {
      members.push_back({ HostId("front-" + std::to_string(i)),
                          AvailabilityZone("south"),
                          "address" });
    }
    const auto nearest = NearestMembers(
      HostId("front-99"), AvailabilityZone("south"), members, 12);
    CHECK(nearest.size() == 12);
    CHECK(std::count_if(
            nearest.begin(), nearest.end(), [](const EntryMember& aMember) {
              return aMember.zone == AvailabilityZone("south");
            }) == 9);
  }

  THEN("in a small zone all members get them")
  {
    members.resize(3);
    const AvailabilityZone zone("north");
    CHECK(NearestMembers(HostId("front-99"), zone, members, 8).size() == 3);
    CHECK(NearestMembers(HostId("front-99"), zone, {}, 8).empty());
  }
}
