#include "wigeonwalk/entry/registry_readers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace wigeonwalk;

namespace {

std::map<HostId, EntryMember>
MakeMembers(int aDaemons, int aZones)
{
  std::map<HostId, EntryMember> members;
  for (int i = 0; i < aDaemons; ++i) {
    const HostId host("front-" + std::to_string(i));
    members[host] = { host,
                      AvailabilityZone("zone-" + std::to_string(i % aZones)),
                      "peer-" + host.Text() };
  }
  return members;
}

} // namespace

// Guards against a cost of the registry that grows with the fleet, and against
// daemons without a reader.
SCENARIO("a few daemons of each zone read the registry")
{
  struct Row
  {
    int daemons;
    int zones;
    // Calls to the registry follow from the number of readers.
    std::size_t mostReaders;
  };
  const auto row = GENERATE(values<Row>({ { 1, 1, 1 },
                                          { 7, 4, 7 },
                                          { 9, 4, 9 },
                                          { 70, 4, 8 },
                                          { 90, 4, 8 },
                                          { 295, 6, 30 },
                                          { 350, 9, 36 },
                                          { 1'000, 9, 90 } }));
  INFO(row.daemons << " daemons in " << row.zones << " zones");
  const auto members = MakeMembers(row.daemons, row.zones);
  std::size_t readers = 0;
  std::map<HostId, std::size_t> dependents;
  for (const auto& [host, member] : members) {
    const ReaderRoles roles = AssignReaders(host, member.zone, members);
    readers += roles.reads ? 1 : 0;
    if (!roles.reads) {
      REQUIRE(roles.readers.size() >= kMinReaders);
      ++dependents[roles.readers.front().host];
      for (const EntryMember& reader : roles.readers) {
        CHECK(reader.zone == member.zone);
        CHECK(AssignReaders(reader.host, reader.zone, members).isAsked);
      }
    }
  }

  THEN("their number is bounded")
  {
    CHECK(readers <= row.mostReaders);
  }

  THEN("the others are spread over them")
  {
    for (const auto& [reader, count] : dependents) {
      CHECK(count <= 2 * kDaemonsPerReader);
    }
  }
}

// Guards against a change of membership that moves more daemons to other
// readers than it has to.
SCENARIO("a daemon that joins or leaves moves few others")
{
  auto members = MakeMembers(49, 1);
  const AvailabilityZone zone("zone-0");
  std::map<HostId, HostId> before;
  for (const auto& [host, member] : members) {
    const ReaderRoles roles = AssignReaders(host, zone, members);
    before[host] = roles.reads ? host : roles.readers.front().host;
  }
  const HostId gone("front-7");
  members.erase(gone);
  int moved = 0;
  for (const auto& [host, member] : members) {
    const ReaderRoles roles = AssignReaders(host, zone, members);
    const HostId now = roles.reads ? host : roles.readers.front().host;
    moved += now != before[host] && before[host] != gone ? 1 : 0;
  }
  // One reader of four may be replaced or given up.
  CHECK(moved <= 49 / 2);
}

// Guards against a new daemon that gets no changes before it is listed.
SCENARIO("a daemon that is not a member yet reads")
{
  const auto members = MakeMembers(30, 1);
  const ReaderRoles roles =
    AssignReaders(HostId("front-99"), AvailabilityZone("zone-0"), members);
  CHECK(roles.reads);
}
