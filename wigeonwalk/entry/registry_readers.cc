#include "wigeonwalk/entry/registry_readers.h"

#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>

namespace wigeonwalk {

ReaderRoles
AssignReaders(const HostId& aSelf,
              const AvailabilityZone& aZone,
              const std::map<HostId, EntryMember>& aMembers)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aMembers) {
    if (member.zone == aZone && !member.peerAddress.empty()) {
      hosts.push_back(host);
    }
  }
  const std::size_t count = std::max(
    kMinReaders, (hosts.size() + kDaemonsPerReader - 1) / kDaemonsPerReader);
  ReaderRoles roles;
  if (hosts.size() <= count) {
    return roles;
  }
  const std::vector<HostId> readers =
    RankOwners("registry readers", hosts, count);
  const bool listed =
    std::find(hosts.begin(), hosts.end(), aSelf) != hosts.end();
  roles.reads = !listed || std::find(readers.begin(), readers.end(), aSelf) !=
                             readers.end();
  roles.isAsked = roles.reads;
  if (!roles.reads) {
    for (const HostId& reader :
         RankOwners(aSelf.Text(), readers, readers.size())) {
      roles.readers.push_back(aMembers.at(reader));
    }
  }
  return roles;
}

} // namespace wigeonwalk
