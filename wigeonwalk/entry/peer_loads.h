// Loads that other daemons report or announce, summed for each runner.
//
//   peerLoads.Record(daemon, loads, now);
//   peerLoads.Book(daemon, booking, fleet);
//   peerLoads.ApplyTo(fleet, members, now);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/peer_bookings.h"
#include "wigeonwalk/ports/registry_items.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Keeps what each daemon told last until it expires. Not thread-safe.
class PeerLoads
{
public:
  // Reports expire after this time.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(900);

  void Record(const HostId& aDaemon, RunnerLoads aLoads, TimePoint aNow);

  // Replaces what a daemon has at one runner until its next report, also in the
  // runner's sums.
  void Book(const HostId& aDaemon, PeerBooking aBooking, const Fleet& aFleet);

  // Sets the loads of other daemons at all runners. What has expired or is of a
  // daemon that is not among `aMembers` is dropped.
  void ApplyTo(const Fleet& aFleet,
               const std::map<HostId, EntryMember>& aMembers,
               TimePoint aNow);

private:
  PeerBookings bookings;
};

// Returns what this daemon has in flight at each runner.
RunnerLoads
LoadsOf(const Fleet& aFleet);

// Returns up to `aCount` members, those of `aZone` first. Within and outside
// the zone they are the ones that follow this daemon in host order, wrapping
// around, so that each member gets reports from equally many daemons.
// `aMembers` is sorted by host and does not contain this daemon.
std::vector<EntryMember>
NearestMembers(const HostId& aSelf,
               const AvailabilityZone& aZone,
               std::vector<EntryMember> aMembers,
               std::size_t aCount);

} // namespace wigeonwalk
