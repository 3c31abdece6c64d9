// Loads that other daemons report or announce, summed for each runner.
//
//   peerLoads.Record(daemon, loads, now);
//   peerLoads.ApplyTo(fleet, now);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/peer_bookings.h"
#include "wigeonwalk/ports/registry_items.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Keeps the latest report of each daemon until it expires. Not thread-safe.
class PeerLoads
{
public:
  // Reports expire after this time.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(900);

  void Record(const HostId& aDaemon, RunnerLoads aLoads, TimePoint aNow);

  // Adds what a daemon announced since its last report, also to the runner.
  void Book(const HostId& aDaemon, PeerBooking aBooking, const Fleet& aFleet);

  // Sets the loads of other daemons at all runners; expired reports and
  // bookings are dropped.
  void ApplyTo(const Fleet& aFleet, TimePoint aNow);

private:
  struct Report
  {
    RunnerLoads loads;
    TimePoint at;
  };

  std::map<HostId, Report> reports;
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
