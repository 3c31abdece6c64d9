// Chooses the daemons that know where a stream began.
//
//   for (const HostId& host : StreamKeepers(key, others)) { ... tell it ... }
//   if (RecorderOf(StreamRecorders(hosts), key) == self) { ... write it ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <vector>

namespace wigeonwalk {

// Up to this many daemons all keep where all streams began; in a larger fleet,
// as many as kOriginKeepers do for each stream, so that messages don't grow
// with the fleet.
inline constexpr std::size_t kMaxDaemonsKeepingAllOrigins = 12;
inline constexpr std::size_t kOriginKeepers = 3;

// Daemons that write to the registry where streams began; each stream is
// written by one of them.
inline constexpr std::size_t kStreamRecorders = 2;

// Returns those of the other daemons `aOthers` that keep the origin of a
// stream, the first to be asked first.
std::vector<HostId>
StreamKeepers(const Hash128& aKey, const std::vector<HostId>& aOthers);

// Returns those of all daemons `aHosts` that write records of streams.
std::vector<HostId>
StreamRecorders(const std::vector<HostId>& aHosts);

// Returns the one of `aRecorders` that writes the record of a stream; an empty
// name if there are none.
HostId
RecorderOf(const std::vector<HostId>& aRecorders, const Hash128& aKey);

} // namespace wigeonwalk
