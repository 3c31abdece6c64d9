#include "wigeonwalk/shares/member_shares.h"

#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeonwalk {

MemberShares::MemberShares(HostId aSelf,
                           const AvailabilityZone& aZone,
                           const std::vector<ShareMember>& aMembers)
  : self(std::move(aSelf))
{
  for (const ShareMember& member : aMembers) {
    if (member.host != this->self) {
      this->all.push_back(member.host);
      this->byZone[member.zone].push_back(member.host);
    }
  }
  this->all.push_back(this->self);
  this->byZone[aZone].push_back(this->self);
}

const std::vector<HostId>&
MemberShares::MembersOf(const AvailabilityZone& aZone) const
{
  const auto found = this->byZone.find(aZone);
  return found == this->byZone.end() ? this->all : found->second;
}

std::size_t
MemberShares::CountIn(const AvailabilityZone& aZone) const
{
  return this->MembersOf(aZone).size();
}

std::optional<std::size_t>
MemberShares::RankFor(std::string_view aKey,
                      const AvailabilityZone& aZone) const
{
  const std::vector<HostId>& members = this->MembersOf(aZone);
  if (std::find(members.begin(), members.end(), this->self) == members.end()) {
    return std::nullopt;
  }
  const std::uint64_t own = RendezvousScore(this->self, aKey);
  return std::count_if(
    members.begin(), members.end(), [&](const HostId& aHost) {
      const std::uint64_t score = RendezvousScore(aHost, aKey);
      return score > own || (score == own && aHost < this->self);
    });
}

double
PhaseOf(const HostId& aHost, std::string_view aKey)
{
  constexpr std::uint64_t kSteps = 1ULL << 32U;
  return static_cast<double>(RendezvousScore(aHost, aKey) % kSteps) / kSteps;
}

bool
HasTurn(const HostId& aHost,
        std::string_view aKey,
        std::uint64_t aTurn,
        double aShare)
{
  if (aShare >= 1) {
    return true;
  }
  return PhaseOf(aHost, std::string(aKey) + '/' + std::to_string(aTurn)) <
         aShare;
}

} // namespace wigeonwalk
