#include "wigeonwalk/fleet/reported_load.h"

#include "wigeonwalk/base/hash128.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Returns how much of a reported amount is not this daemon's own.
template<typename Amount>
Amount
Excess(Amount aReported, Amount aOwn)
{
  return aReported > aOwn ? aReported - aOwn : 0;
}

} // namespace

RunnerKey
KeyOfRunner(const UpstreamId& aRunner)
{
  return static_cast<RunnerKey>(HashBytes(aRunner.Text(), 0).low);
}

ReportedLoad
MakeReportedLoad(RunnerKey aRunner,
                 std::uint64_t aMemoryTokens,
                 std::uint32_t aRunning,
                 std::uint32_t aWaiting,
                 TimePoint aMeasuredAt)
{
  const std::uint64_t average = aRunning > 0 ? aMemoryTokens / aRunning : 0;
  return { aRunner,
           aMemoryTokens + aWaiting * average,
           aRunning + aWaiting,
           aMeasuredAt };
}

void
ReportedLoads::Record(const ReportedLoad& aLoad)
{
  ReportedLoad& known = this->loads[aLoad.runner];
  if (known.measuredAt <= aLoad.measuredAt) {
    known = aLoad;
  }
}

void
ReportedLoads::Replace(const std::vector<ReportedLoad>& aLoads)
{
  this->loads.clear();
  for (const ReportedLoad& load : aLoads) {
    this->Record(load);
  }
}

std::vector<ReportedLoad>
ReportedLoads::Busiest(std::size_t aCount, TimePoint aNow) const
{
  std::vector<ReportedLoad> busiest;
  for (const auto& [runner, load] : this->loads) {
    if (aNow - load.measuredAt <= kLifetime) {
      busiest.push_back(load);
    }
  }
  std::sort(busiest.begin(),
            busiest.end(),
            [](const ReportedLoad& aLeft, const ReportedLoad& aRight) {
              return aLeft.tokens > aRight.tokens;
            });
  busiest.resize(std::min(busiest.size(), aCount));
  return busiest;
}

void
ReportedLoads::ApplyTo(const Fleet& aFleet, TimePoint aNow) const
{
  for (const auto& runner : aFleet.All()) {
    const auto found = this->loads.find(KeyOfRunner(runner->entry.id));
    if (found == this->loads.end() ||
        aNow - found->second.measuredAt > kLifetime) {
      continue;
    }
    const ReportedLoad& load = found->second;
    runner->othersTokensInFlight =
      std::max(runner->othersTokensInFlight,
               Excess(load.tokens, runner->tokensInFlight));
    runner->othersInFlight =
      std::max(runner->othersInFlight, Excess(load.requests, runner->inFlight));
  }
}

} // namespace wigeonwalk
