#include "wigeonwalk/membership/rendezvous.h"

#include "wigeonwalk/base/hash128.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeonwalk {
namespace {

constexpr std::uint64_t kShardSeed = 0x7769'6765'6F6E'0001;

std::uint64_t
ScoreWithShardHash(const HostId& aHost, std::uint64_t aShardHash)
{
  return HashBytes(aHost.Text(), aShardHash).low;
}

} // namespace

std::uint64_t
RendezvousScore(const HostId& aHost, std::string_view aShard)
{
  return ScoreWithShardHash(aHost, HashBytes(aShard, kShardSeed).low);
}

std::vector<HostId>
RankOwners(std::string_view aShard,
           const std::vector<HostId>& aHosts,
           std::size_t aCount)
{
  const std::uint64_t shardHash = HashBytes(aShard, kShardSeed).low;
  std::vector<std::pair<std::uint64_t, const HostId*>> scored;
  scored.reserve(aHosts.size());
  for (const HostId& host : aHosts) {
    scored.emplace_back(ScoreWithShardHash(host, shardHash), &host);
  }
  const std::size_t count = std::min(aCount, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(scored.begin(),
                    middle,
                    scored.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : *aLeft.second < *aRight.second;
                    });
  std::vector<HostId> owners;
  owners.reserve(count);
  for (auto next = scored.begin(); next != middle; ++next) {
    owners.push_back(*next->second);
  }
  return owners;
}

bool
IsOwner(std::string_view aShard,
        const HostId& aHost,
        const std::vector<HostId>& aHosts,
        std::size_t aCount)
{
  const std::vector<HostId> owners = RankOwners(aShard, aHosts, aCount);
  return std::find(owners.begin(), owners.end(), aHost) != owners.end();
}

std::uint32_t
CountOwned(std::string_view aGroup,
           std::uint32_t aShards,
           const HostId& aHost,
           const std::vector<HostId>& aHosts)
{
  std::uint32_t owned = 0;
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    const std::string name = std::string(aGroup) + '/' + std::to_string(shard);
    owned += IsOwner(name, aHost, aHosts, 1) ? 1 : 0;
  }
  return owned;
}

} // namespace wigeonwalk
