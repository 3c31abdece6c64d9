// Estimate of the current load of a runner or link from delayed reports.
//
// A report states how much work waited when it was measured. Since then, work
// drains at one second per second, and the work that this daemon has sent is
// added.
//
//   load.Report(2.5, measuredAt);
//   load.NoteSent(0.8, now);
//   double wait = load.Waiting(now);
#pragma once

#include "wigeonwalk/base/time.h"

#include <deque>
#include <utility>

namespace wigeonwalk {

// Work is measured in seconds of the runner's or link's time. One thread only.
class LoadEstimate
{
public:
  // Applies a report. Ignores it if it is older than the current one.
  void Report(double aWaitingSeconds, TimePoint aMeasuredAt);

  // Adds work that this daemon sent, in seconds.
  void NoteSent(double aSeconds, TimePoint aNow);

  // Returns the estimated work that waits at a time, in seconds.
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
