// Loads that runners report themselves.
//
//   loads.Record({ KeyOfRunner(id), tokens, waiting, running, measuredAt });
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

// One runner's report.
struct ReportedLoad
{
  RunnerKey runner = 0;
  // Memory of running requests, in tokens.
  std::uint64_t memoryTokens = 0;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  TimePoint measuredAt;
};

// In a large cluster no daemon knows the requests of all others, so the sum of
// the loads that daemons tell each other is far too low. A runner's own report
// covers the requests of all daemons, but is some hundred milliseconds old. Not
// thread-safe.
class ReportedLoads
{
public:
  // Reports expire after this time.
  static constexpr Duration kLifetime = std::chrono::milliseconds(1'500);

  // Keeps the report if it is newer than the one that is known.
  void Record(const ReportedLoad& aLoad);

  // Replaces all reports. Runners that are not listed have little load.
  void Replace(const std::vector<ReportedLoad>& aLoads);

  // Returns the reports with the most memory in use that have not expired.
  std::vector<ReportedLoad> Busiest(std::size_t aCount, TimePoint aNow) const;

  // Raises the loads of other daemons at each runner to what its report says
  // beyond the requests of this daemon. Waiting requests count like the average
  // running one.
  void ApplyTo(const Fleet& aFleet, TimePoint aNow) const;

private:
  std::map<RunnerKey, ReportedLoad> loads;
};

} // namespace wigeonwalk
