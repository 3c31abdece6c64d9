#include "wigeonwalk/membership/rendezvous.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace wigeonwalk;

// Guards against a departure that reassigns shards of the remaining members,
// and against one member owning far more than its share.
SCENARIO("one departure moves only the departed member's shards",
         "[rendezvous]")
{
  std::vector<HostId> hosts;
  for (int i = 0; i < 350; ++i) {
    hosts.emplace_back("entry-" + std::to_string(i));
  }
  constexpr int kShards = 7'000;
  std::map<HostId, int> owned;
  std::vector<HostId> before;
  for (int shard = 0; shard < kShards; ++shard) {
    before.push_back(RankOwners("s/" + std::to_string(shard), hosts, 1).at(0));
    owned[before.back()] += 1;
  }

  THEN("no member owns more than three times the average")
  {
    for (const auto& [host, count] : owned) {
      CHECK(count <= 3 * kShards / 350);
    }
  }
  WHEN("one member departs and the host list is in a different order")
  {
    const HostId departed = hosts.back();
    hosts.pop_back();
    std::reverse(hosts.begin(), hosts.end());
    int moved = 0;
    for (int shard = 0; shard < kShards; ++shard) {
      const std::string name = "s/" + std::to_string(shard);
      const HostId now = RankOwners(name, hosts, 1).at(0);
      const auto index = static_cast<std::size_t>(shard);
      moved += now != before[index] ? 1 : 0;
      if (before[index] != departed && now != before[index]) {
        FAIL("a shard of a remaining member moved");
      }
    }
    THEN("exactly its shards have moved")
    {
      CHECK(moved == owned[departed]);
      WARN("shards moved: " << moved << " of " << kShards);
    }
  }
  WHEN("two owners are requested")
  {
    const auto owners = RankOwners("s/1", hosts, 2);
    THEN("the second takes over when the first departs")
    {
      hosts.erase(std::find(hosts.begin(), hosts.end(), owners[0]));
      CHECK(RankOwners("s/1", hosts, 1).at(0) == owners[1]);
      CHECK(IsOwner("s/1", owners[1], hosts, 1));
    }
  }
}

// Guards against a shard that counts for several members: the members' shares
// of a budget, which depend on owned shards, would add up to more than the
// budget.
SCENARIO("each shard counts for exactly one member", "[rendezvous]")
{
  std::vector<HostId> hosts{ HostId("a"), HostId("b"), HostId("c") };
  std::uint32_t sum = 0;
  for (const HostId& host : hosts) {
    sum += CountOwned("claims", 48, host, hosts);
  }
  CHECK(sum == 48);

  WHEN("there is only one member")
  {
    CHECK(CountOwned("claims", 48, hosts[0], { hosts[0] }) == 48);
  }
}
