#include "wigeonwalk/shares/member_shares.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace wigeonwalk;

namespace {

const AvailabilityZone kNorth("north");
const AvailabilityZone kSouth("south");

std::vector<ShareMember>
Members(int aNorth, int aSouth)
{
  std::vector<ShareMember> members;
  for (int i = 0; i < aNorth; ++i) {
    members.push_back({ HostId("n-" + std::to_string(i)), kNorth });
  }
  for (int i = 0; i < aSouth; ++i) {
    members.push_back({ HostId("s-" + std::to_string(i)), kSouth });
  }
  return members;
}

MemberShares
SharesOf(const ShareMember& aSelf, const std::vector<ShareMember>& aMembers)
{
  return MemberShares(aSelf.host, aSelf.zone, aMembers);
}

} // namespace

// Guards against shares that together exceed the whole, or leave a part of it
// to nobody.
SCENARIO("each daemon works out its share alone")
{
  const auto members = Members(9, 4);

  GIVEN("daemons that know the same list")
  {
    THEN("the ranks for a key are all different, from zero on")
    {
      std::set<std::size_t> ranks;
      for (int i = 0; i < 9; ++i) {
        ranks.insert(SharesOf(members[static_cast<std::size_t>(i)], members)
                       .RankFor("runner", kNorth)
                       .value());
      }
      CHECK(ranks.size() == 9);
      CHECK(*ranks.rbegin() == 8);
    }

    THEN("daemons of other zones have none")
    {
      CHECK_FALSE(SharesOf(members.back(), members).RankFor("runner", kNorth));
      CHECK(SharesOf(members.back(), members).RankFor("runner", kSouth));
    }

    THEN("different keys have different first daemons")
    {
      std::set<int> firsts;
      for (int key = 0; key < 100; ++key) {
        for (int i = 0; i < 9; ++i) {
          const auto& self = members[static_cast<std::size_t>(i)];
          if (SharesOf(self, members).RankFor(std::to_string(key), kNorth) ==
              0U) {
            firsts.insert(i);
          }
        }
      }
      CHECK(firsts.size() == 9);
    }
  }

  GIVEN("a zone without daemons")
  {
    const MemberShares shares = SharesOf(members.front(), members);
    CHECK(shares.CountIn(AvailabilityZone("empty")) == shares.Count());
    CHECK(shares.RankFor("runner", AvailabilityZone("empty")).has_value());
  }

  GIVEN("a list that lacks the daemon itself, as after a restart")
  {
    const ShareMember self{ HostId("n-new"), kNorth };
    const MemberShares shares = SharesOf(self, members);
    CHECK(shares.Count() == 14);
    CHECK(shares.CountIn(kNorth) == 10);
    CHECK(SharesOf(self, {}).Count() == 1);
    CHECK(SharesOf(self, {}).RankFor("runner", kNorth) == 0U);
  }

  GIVEN("a share of the turns at each runner")
  {
    int all = 0;
    int together = 0;
    for (std::uint64_t turn = 0; turn < 10'000; ++turn) {
      int having = 0;
      for (const ShareMember& member : members) {
        having += HasTurn(member.host, "runner", turn, 0.1) ? 1 : 0;
      }
      all += having;
      together += having > 1 ? 1 : 0;
      CHECK(HasTurn(members.front().host, "runner", turn, 1));
      CHECK_FALSE(HasTurn(members.front().host, "runner", turn, 0));
    }
    // Each daemon has a tenth of them, independently of the others.
    const double mean = 0.1 * static_cast<double>(members.size());
    CHECK(all > 9'000 * mean);
    CHECK(all < 11'000 * mean);
    CHECK(together < 5'000);
  }

  WHEN("a daemon is gone")
  {
    auto fewer = members;
    fewer.erase(fewer.begin());

    THEN("no rank moves by more than one")
    {
      for (const ShareMember& self : fewer) {
        if (self.zone != kNorth) {
          continue;
        }
        const auto before = SharesOf(self, members).RankFor("runner", kNorth);
        const auto after = SharesOf(self, fewer).RankFor("runner", kNorth);
        CHECK(*before - *after <= 1);
      }
    }
  }
}
