#include "wigeonwalk/entry/registry_readers.h"

#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

std::vector<HostId>
HostsOf(const AvailabilityZone& aZone,
        const std::map<HostId, EntryMember>& aMembers)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aMembers) {
    if (member.zone == aZone && !member.peerAddress.empty()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<EntryMember>
MembersAt(const std::vector<HostId>& aHosts,
          const std::map<HostId, EntryMember>& aMembers)
{
  std::vector<EntryMember> found;
  for (const HostId& host : aHosts) {
    found.push_back(aMembers.at(host));
  }
  return found;
}

} // namespace

std::vector<EntryMember>
ReadersOf(const AvailabilityZone& aZone,
          const std::map<HostId, EntryMember>& aMembers)
{
  const std::vector<HostId> hosts = HostsOf(aZone, aMembers);
  if (hosts.size() <= kMaxDaemonsWithoutReaders) {
    return {};
  }
  const std::size_t count = std::max(
    kMinReaders, (hosts.size() + kDaemonsPerReader - 1) / kDaemonsPerReader);
  return MembersAt(RankOwners("registry readers", hosts, count), aMembers);
}

ReaderRoles
AssignReaders(const HostId& aSelf,
              const AvailabilityZone& aZone,
              const std::map<HostId, EntryMember>& aMembers)
{
  ReaderRoles roles;
  std::vector<HostId> readers;
  for (const EntryMember& reader : ReadersOf(aZone, aMembers)) {
    readers.push_back(reader.host);
  }
  const bool isReader =
    std::find(readers.begin(), readers.end(), aSelf) != readers.end();
  const auto self = aMembers.find(aSelf);
  const bool listed = self != aMembers.end() && self->second.zone == aZone;
  roles.reads = readers.empty() || isReader || !listed;
  roles.isAsked = isReader;
  if (!roles.reads) {
    roles.readers =
      MembersAt(RankOwners(aSelf.Text(), readers, readers.size()), aMembers);
  }
  return roles;
}

} // namespace wigeonwalk
