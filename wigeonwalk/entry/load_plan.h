// Decides in which order runners load new weights, and how many load at once.
//
//   std::sort(pending.begin(), pending.end(), LoadsBefore);
//   const ExpectedLoad expected = loadTimes.Expected(loadingSince, now);
//   const std::size_t atOnce =
//     LoadsNeeded(limits, loadingSince, expected, now);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <vector>

namespace wigeonwalk {

// A runner whose weights were replaced by newer ones.
struct PendingLoad
{
  UpstreamId runner;
  // The runner gets no requests after this time unless it has loaded.
  TimePoint usableUntil;
  // Time that failed attempts to load the newest weights have taken.
  Duration spent{ 0 };
};

// Returns true if the first runner should load before the second: the one whose
// weights run out first. The time spent on failed attempts counts against a
// runner, so that one that fails repeatedly does not block the others.
bool
LoadsBefore(const PendingLoad& aLeft, const PendingLoad& aRight);

// Time that a load is expected to take, and the mean deviation from it.
struct ExpectedLoad
{
  Duration time{ 0 };
  Duration deviation{ 0 };
};

// Exponentially weighted mean of the time of a load.
class LoadTimeEstimate
{
public:
  // `aInitial` is expected until a load was measured.
  explicit LoadTimeEstimate(Duration aInitial)
    : expected{ aInitial, Duration(0) }
  {
  }

  // Adds the time that a runner's load has taken, including failed attempts.
  void Record(Duration aTaken);

  // Returns the expected time of a load. Loads in progress that take longer are
  // counted as if they ended now, so that the estimate rises before the first
  // slow load has ended.
  ExpectedLoad Expected(const std::vector<TimePoint>& aLoadingSince,
                        TimePoint aNow) const;

private:
  // Returns the estimate after one more load.
  ExpectedLoad With(Duration aTaken) const;

  ExpectedLoad expected;
  bool isMeasured = false;
};

// Returns how many runners must load at once, including those that load now, so
// that each pending one has loaded by its limit. The one with the earliest
// limit is assumed to load first. Those that can't load by their limit any more
// are to load at once.
std::size_t
LoadsNeeded(const std::vector<TimePoint>& aLimits,
            const std::vector<TimePoint>& aLoadingSince,
            const ExpectedLoad& aLoad,
            TimePoint aNow);

} // namespace wigeonwalk
