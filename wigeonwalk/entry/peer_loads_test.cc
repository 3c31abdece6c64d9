#include "wigeonwalk/entry/peer_loads.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace wigeonwalk;

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
