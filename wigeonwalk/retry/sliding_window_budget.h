// A sliding-window limit on repeated requests that holds over all daemons
// without any communication between them.
//
//   SlidingWindowBudget budget({ .ratio = 0.2, .slack = 54, .window = 10s });
//   budget.RecordRequest(service, now);
//   if (budget.TrySpend(service, daemons, now)) { ... send it again ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace wigeonwalk {

// The limit set by the deployment: in any window, the repeats for a service
// over all daemons stay below ratio x requests + slack.
struct SlidingWindowBudgetSettings
{
  double ratio = 0.2;
  double slack = 0;
  Duration window = std::chrono::seconds(10);
  // Fraction of the limit that is used. The rest is a safety margin, because a
  // daemon knows the number of daemons and their windows only approximately.
  double usableFraction = 0.8;
};

// Counts the requests and repeats of one daemon in a sliding window. The daemon
// may use the part of the limit that its own requests add, and an equal share
// of the slack. Not thread-safe.
class SlidingWindowBudget
{
public:
  explicit SlidingWindowBudget(SlidingWindowBudgetSettings aSettings);

  // Counts a caller's request, whether or not it is forwarded.
  void RecordRequest(const ServiceName& aService, TimePoint aNow);

  // Takes one repeat from the budget. Returns false if this daemon's part of
  // the limit is exhausted. `aDaemonCount` is the number of daemons that share
  // it.
  bool TrySpend(const ServiceName& aService,
                std::size_t aDaemonCount,
                TimePoint aNow);

private:
  struct Window
  {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void EvictExpired(Window& aWindow, TimePoint aNow) const;

  SlidingWindowBudgetSettings settings;
  std::unordered_map<ServiceName, Window> windows;
};

} // namespace wigeonwalk
