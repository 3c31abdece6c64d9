#include "wigeonwalk/entry/load_plan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace wigeonwalk {

namespace {

// Weight of the latest load in the mean.
constexpr double kSmoothing = 0.3;

// By how many mean deviations of a load's time loads are planned to end before
// their limit.
constexpr int kMarginDeviations = 2;

void
Approach(Duration& aMean, Duration aSample)
{
  aMean += FromSeconds(kSmoothing * ToSeconds(aSample - aMean));
}

// Returns how many loads fit one after the other between two times.
std::size_t
CountLoads(TimePoint aFrom, TimePoint aUntil, Duration aLoadTime)
{
  return aFrom < aUntil ? static_cast<std::size_t>((aUntil - aFrom) / aLoadTime)
                        : 0;
}

// Returns when a load in progress is expected to end. One that is late is
// expected to take as long again as it is late.
TimePoint
ExpectedEnd(TimePoint aSince, Duration aLoadTime, TimePoint aNow)
{
  const Duration remaining = aSince + aLoadTime - aNow;
  return aNow + std::max(remaining, -remaining);
}

} // namespace

bool
LoadsBefore(const PendingLoad& aLeft, const PendingLoad& aRight)
{
  const TimePoint leftDue = aLeft.usableUntil + aLeft.spent;
  const TimePoint rightDue = aRight.usableUntil + aRight.spent;
  return std::tie(leftDue, aLeft.runner) < std::tie(rightDue, aRight.runner);
}

void
LoadTimeEstimate::Record(Duration aTaken)
{
  this->expected = this->With(aTaken);
  this->isMeasured = true;
}

ExpectedLoad
LoadTimeEstimate::With(Duration aTaken) const
{
  if (!this->isMeasured) {
    return { aTaken, Duration(0) };
  }
  ExpectedLoad load = this->expected;
  const Duration error = std::chrono::abs(aTaken - load.time);
  Approach(load.deviation, error);
  Approach(load.time, aTaken);
  return load;
}

ExpectedLoad
LoadTimeEstimate::Expected(const std::vector<TimePoint>& aLoadingSince,
                           TimePoint aNow) const
{
  std::vector<TimePoint> newestFirst = aLoadingSince;
  std::sort(newestFirst.rbegin(), newestFirst.rend());
  LoadTimeEstimate estimate = *this;
  for (const TimePoint since : newestFirst) {
    const Duration age = aNow - since;
    if (age > estimate.expected.time) {
      estimate.expected = estimate.With(age);
    }
  }
  return estimate.expected;
}

std::size_t
LoadsNeeded(const std::vector<TimePoint>& aLimits,
            const std::vector<TimePoint>& aLoadingSince,
            const ExpectedLoad& aLoad,
            TimePoint aNow)
{
  std::map<TimePoint, std::size_t> countByLimit;
  for (const TimePoint limit : aLimits) {
    ++countByLimit[limit - kMarginDeviations * aLoad.deviation];
  }
  std::size_t pending = 0;
  std::size_t added = 0;
  for (const auto& [limit, count] : countByLimit) {
    pending += count;
    std::size_t following = 0;
    for (const TimePoint since : aLoadingSince) {
      const TimePoint end = ExpectedEnd(since, aLoad.time, aNow);
      following += CountLoads(end, limit, aLoad.time);
    }
    if (following < pending) {
      const std::size_t rounds =
        std::max<std::size_t>(CountLoads(aNow, limit, aLoad.time), 1);
      added = std::max(added, (pending - following + rounds - 1) / rounds);
    }
  }
  return aLoadingSince.size() + added;
}

} // namespace wigeonwalk
