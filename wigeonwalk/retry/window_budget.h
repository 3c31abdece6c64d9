// A bound on repeats that all daemons share without talking to each other.
//
//   WindowBudget budget({ .ratio = 0.2, .slack = 54, .window = 10s });
//   budget.NoteRequest(service, now);
//   if (budget.TrySpend(service, daemons, now)) { ... send it again ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace wigeonwalk {

// The deployment's bound: in any window, the repeats for a service over all
// daemons stay below ratio x requests + slack.
struct WindowBudgetSettings
{
  double ratio = 0.2;
  double slack = 0;
  Duration window = std::chrono::seconds(10);
  // Part of the bound that is used, because daemons know their number and each
  // other's windows only roughly.
  double used = 0.8;
};

// Counts requests and repeats of one daemon in a sliding window. Each daemon
// may use its own requests' part and an equal part of the slack. One thread
// only.
class WindowBudget
{
public:
  explicit WindowBudget(WindowBudgetSettings aSettings);

  // Counts a request of a caller, whether it is sent on or not.
  void NoteRequest(const ServiceName& aService, TimePoint aNow);

  // Takes one repeat, or returns false where the window's part is used up.
  bool TrySpend(const ServiceName& aService,
                std::size_t aDaemons,
                TimePoint aNow);

private:
  struct Window
  {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };

  void DropOld(Window& aWindow, TimePoint aNow) const;

  WindowBudgetSettings settings;
  std::unordered_map<ServiceName, Window> windows;
};

} // namespace wigeonwalk
