// Loads that runners report themselves.
//
//   loads.Record({ KeyOfRunner(id), tokens, requests, measuredAt });
//   loads.ApplyTo(fleet, now);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/fleet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace wigeonwalk {

// Hash of a runner's id, which takes less space in messages than the id.
using RunnerKey = std::uint32_t;

RunnerKey
KeyOfRunner(const UpstreamId& aRunner);

// One runner's load, by its own report.
struct ReportedLoad
{
  RunnerKey runner = 0;
  // Memory of running requests and the expected memory of waiting ones, in
  // tokens.
  std::uint64_t tokens = 0;
  // Running and waiting requests.
  std::uint32_t requests = 0;
  TimePoint measuredAt;
};

// Returns the load of a runner with the given memory in use; each waiting
// request counts like the average running one.
ReportedLoad
MakeReportedLoad(RunnerKey aRunner,
                 std::uint64_t aMemoryTokens,
                 std::uint32_t aRunning,
                 std::uint32_t aWaiting,
                 TimePoint aMeasuredAt);

// In a large cluster no daemon knows the requests of all others, so the sum of
// the loads that daemons tell each other is far too low. A runner's own report
// covers the requests of all daemons, but is some hundred milliseconds old. Not
// thread-safe.
class ReportedLoads
{
public:
  // Reports expire after this time. One reaches the last daemon within about
  // 0.7 s and is used until the next one, half a second later.
  static constexpr Duration kLifetime = std::chrono::milliseconds(2'000);

  // Keeps the report if it is newer than the one that is known.
  void Record(const ReportedLoad& aLoad);

  // Replaces all reports. Runners that are not listed have little load.
  void Replace(const std::vector<ReportedLoad>& aLoads);

  // Returns the reports with the most tokens that have not expired.
  std::vector<ReportedLoad> Busiest(std::size_t aCount, TimePoint aNow) const;

  // Raises the loads of other daemons at each runner to what its report says
  // beyond the requests of this daemon.
  void ApplyTo(const Fleet& aFleet, TimePoint aNow) const;

private:
  std::map<RunnerKey, ReportedLoad> loads;
};

} // namespace wigeonwalk
