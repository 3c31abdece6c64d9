// Which daemons of an availability zone watch the registry, and which of them
// the others ask for its changes.
//
//   const ReaderRoles roles = AssignReaders(self, zone, members);
//   if (!roles.reads) { ... ask roles.readers.front(), then the next one ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/ports/registry_items.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Daemons of a zone for each reader. A reader then spends about 6 KB/s on the
// others: 12 x 2 calls a second of 250 bytes.
inline constexpr std::size_t kDaemonsPerReader = 12;

// Readers of a zone, so that one can fail without the others having to watch.
inline constexpr std::size_t kMinReaders = 2;

// In zones of up to this many daemons all read.
inline constexpr std::size_t kMaxDaemonsWithoutReaders = 4;

// A daemon's part in the distribution of registry changes.
struct ReaderRoles
{
  // This daemon watches the registry itself.
  bool reads = true;
  // This daemon's zone has daemons that don't.
  bool isAsked = false;
  // The readers that this daemon asks, in its own order of preference.
  std::vector<EntryMember> readers;
};

// Returns the readers of a zone that has daemons that don't read, chosen by
// rendezvous hashing; nothing for a small zone.
std::vector<EntryMember>
ReadersOf(const AvailabilityZone& aZone,
          const std::map<HostId, EntryMember>& aMembers);

// The number of calls to the registry and the cost of reading its changes would
// grow with the fleet if every daemon watched it. In a larger zone only its
// readers do, and each of the others asks one of them. A daemon that is not
// listed as a member yet reads.
ReaderRoles
AssignReaders(const HostId& aSelf,
              const AvailabilityZone& aZone,
              const std::map<HostId, EntryMember>& aMembers);

} // namespace wigeonwalk
