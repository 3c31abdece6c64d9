// Loads reported by other daemons, summed for each runner.
//
//   peerLoads.Record(daemon, loads, now);
//   peerLoads.ApplyTo(fleet, now);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/fleet/fleet.h"
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

  // Sets the loads of other daemons at all runners; expired reports are
  // dropped.
  void ApplyTo(const Fleet& aFleet, TimePoint aNow);

private:
  struct Report
  {
    RunnerLoads loads;
    TimePoint at;
  };

  std::map<HostId, Report> reports;
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
