// The loads that other daemons told, summed up at the runners.
//
//   board.Take(daemon, loads, now);
//   board.Spread(fleet, now);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/ports/registry_items.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Keeps the last report of each daemon for a short time. One thread only.
class LoadBoard
{
public:
  // A report that is older says nothing any more.
  static constexpr Duration kLifetime = std::chrono::milliseconds(900);

  void Take(const HostId& aDaemon, RunnerLoads aLoads, TimePoint aNow);

  // Sets the loads of others at all runners, without those of lapsed reports.
  void Spread(const Fleet& aFleet, TimePoint aNow);

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

// Returns up to a number of members after this daemon, in order of host and
// from the start again, so that each member is told by equally many. `aMembers`
// are in order of host, without this daemon.
std::vector<EntryMember>
NextMembers(const HostId& aSelf,
            std::vector<EntryMember> aMembers,
            std::size_t aCount);

} // namespace wigeonwalk
