#include "wigeonwalk/retry/stream_keepers.h"

#include "wigeonwalk/membership/rendezvous.h"

namespace wigeonwalk {

std::vector<HostId>
StreamKeepers(const Hash128& aKey, const std::vector<HostId>& aOthers)
{
  const bool keepsAll = aOthers.size() < kMaxDaemonsKeepingAllOrigins;
  return RankOwners(
    aKey.ToHex(), aOthers, keepsAll ? aOthers.size() : kOriginKeepers);
}

std::vector<HostId>
StreamRecorders(const std::vector<HostId>& aHosts)
{
  return RankOwners("stream records", aHosts, kStreamRecorders);
}

HostId
RecorderOf(const std::vector<HostId>& aRecorders, const Hash128& aKey)
{
  return aRecorders.empty() ? HostId()
                            : aRecorders[aKey.low % aRecorders.size()];
}

} // namespace wigeonwalk
