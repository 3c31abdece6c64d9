#include "wigeonwalk/documents/push_targets.h"

#include <algorithm>
#include <iterator>

namespace wigeonwalk {
namespace {

// Appends up to `aCount` random members to `aChosen`.
void
AppendSample(const std::vector<const MemberUpdate*>& aFrom,
             std::size_t aCount,
             std::mt19937_64& aRandom,
             std::vector<MemberUpdate>& aChosen)
{
  std::vector<const MemberUpdate*> sampled;
  std::sample(
    aFrom.begin(), aFrom.end(), std::back_inserter(sampled), aCount, aRandom);
  for (const MemberUpdate* update : sampled) {
    aChosen.push_back(*update);
  }
}

} // namespace

std::vector<MemberUpdate>
ZoneFanOut::Choose(const MemberTable& aTable, std::mt19937_64& aRandom) const
{
  std::vector<const MemberUpdate*> inSameZone;
  std::vector<const MemberUpdate*> inOtherZones;
  for (const auto& [host, member] : aTable.Others()) {
    if (member.update.state == MemberState::Alive) {
      const bool sameZone = member.update.zone == aTable.Self().zone;
      (sameZone ? inSameZone : inOtherZones).push_back(&member.update);
    }
  }
  std::vector<MemberUpdate> chosen;
  AppendSample(inSameZone, this->sameZoneCount, aRandom, chosen);
  AppendSample(inOtherZones, this->otherZonesCount, aRandom, chosen);
  return chosen;
}

std::vector<MemberUpdate>
RandomFanOut::Choose(const MemberTable& aTable, std::mt19937_64& aRandom) const
{
  std::vector<const MemberUpdate*> candidates;
  for (const auto& [host, member] : aTable.Others()) {
    if (member.update.state == MemberState::Alive) {
      candidates.push_back(&member.update);
    }
  }
  std::vector<MemberUpdate> chosen;
  AppendSample(candidates, this->count, aRandom, chosen);
  return chosen;
}

std::vector<MemberUpdate>
RelayTree::Choose(const MemberTable& aTable, std::mt19937_64&) const
{
  const std::vector<HostId> hosts = aTable.LiveHosts();
  const auto self =
    std::lower_bound(hosts.begin(), hosts.end(), aTable.Self().host);
  const auto index = static_cast<std::size_t>(self - hosts.begin());
  std::vector<MemberUpdate> chosen;
  for (std::size_t child = this->fanOut * index + 1;
       child <= this->fanOut * (index + 1) && child < hosts.size();
       ++child) {
    chosen.push_back(aTable.Find(hosts[child])->update);
  }
  return chosen;
}

} // namespace wigeonwalk
