// Present load of a runner or link from lagging reports.
//
// A report says how much work waited when it was measured. Work drains by one
// second a second since then, and what this daemon has sent since is added.
//
//   load.Report(2.5, measuredAt);
//   load.NoteSent(0.8, now);
//   double wait = load.Waiting(now);
#pragma once

#include "wigeonwalk/base/time.h"

#include <deque>
#include <utility>

namespace wigeonwalk {

// Work is in seconds of the runner's or link's time. One thread only.
class LoadEstimate
{
public:
  // Takes over a report. Older reports than the present one are ignored.
  void Report(double aWaitingSeconds, TimePoint aMeasuredAt);

  // Adds work that this daemon sent.
  void NoteSent(double aSeconds, TimePoint aNow);

  // Estimates the work that waits now.
  double Waiting(TimePoint aNow) const;

  // Time since the last report was measured.
  Duration Age(TimePoint aNow) const { return aNow - this->measuredAt; }

private:
  double reported = 0;
  TimePoint measuredAt;
  // Work sent since the report, in order of time.
  std::deque<std::pair<TimePoint, double>> sent;
};

} // namespace wigeonwalk
