#include "wigeonwalk/entry/notice_limits.h"

#include "wigeonwalk/membership/rendezvous.h"

namespace wigeonwalk {

HostId
StreamRecorder(const EntryState& aState, const Hash128& aKey)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aState.members) {
    hosts.push_back(host);
  }
  const auto recorders = RankOwners("stream records", hosts, kStreamRecorders);
  return recorders.empty() ? HostId() : recorders[aKey.low % recorders.size()];
}

bool
RecordsStream(const EntryState& aState, const Hash128& aKey)
{
  return StreamRecorder(aState, aKey) == aState.Settings().host;
}

} // namespace wigeonwalk
