// Rendezvous hashing: assigns shards to members.
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
// the shard, so that only the shards of a departed host are reassigned.
std::uint64_t
RendezvousScore(const HostId& aHost, std::string_view aShard);

// Returns the aCount hosts with the highest scores, or all if there are fewer,
// highest first. The result does not depend on the order of aHosts.
std::vector<HostId>
RankOwners(std::string_view aShard,
           const std::vector<HostId>& aHosts,
           std::size_t aCount);

// Returns true if aHost is among the first aCount owners of the shard.
bool
IsOwner(std::string_view aShard,
        const HostId& aHost,
        const std::vector<HostId>& aHosts,
        std::size_t aCount);

// Returns how many of the shards "aGroup/0" to "aGroup/(aShards - 1)" have
// aHost as their first owner.
std::uint32_t
CountOwned(std::string_view aGroup,
           std::uint32_t aShards,
           const HostId& aHost,
           const std::vector<HostId>& aHosts);

} // namespace wigeonwalk
