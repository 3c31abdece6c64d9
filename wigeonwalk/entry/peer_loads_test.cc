#include "wigeonwalk/entry/peer_loads.h"

#include <catch2/catch.hpp>

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
      for (const auto& told : NextMembers(self.host, others, 8)) {
        ++reportCounts[told.host];
      }
    }
    CHECK(reportCounts.size() == members.size());
    for (const auto& [host, count] : reportCounts) {
      CHECK(count == 8);
    }
  }

  THEN("in a small zone all members get them")
  {
    members.resize(3);
    CHECK(NextMembers(HostId("front-99"), members, 8).size() == 3);
    CHECK(NextMembers(HostId("front-99"), {}, 8).empty());
  }
}
