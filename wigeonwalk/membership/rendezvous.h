// Rendezvous hashing: which members own a shard.
//
//   std::vector<HostId> owners = RankOwners("claims/17", hosts, 2);
#pragma once

#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Returns the score of a host for a shard. The host with the highest score owns
// the shard, so that a departure moves only the departed host's shards.
std::uint64_t
RendezvousScore(const HostId& aHost, std::string_view aShard);

// Returns up to aCount hosts, best first. The result does not depend on the
// order of aHosts.
std::vector<HostId>
RankOwners(std::string_view aShard,
           const std::vector<HostId>& aHosts,
           std::size_t aCount);

// Returns true where aHost is among the first aCount owners of the shard.
bool
IsOwner(std::string_view aShard,
        const HostId& aHost,
        const std::vector<HostId>& aHosts,
        std::size_t aCount);

// Returns how many of the shards "aGroup/0" to "aGroup/(aShards - 1)" a host
// owns as the first of its owners.
std::uint32_t
CountOwned(std::string_view aGroup,
           std::uint32_t aShards,
           const HostId& aHost,
           const std::vector<HostId>& aHosts);

} // namespace wigeonwalk
