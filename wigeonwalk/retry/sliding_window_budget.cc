#include "wigeonwalk/retry/sliding_window_budget.h"

#include <algorithm>

namespace wigeonwalk {

SlidingWindowBudget::SlidingWindowBudget(SlidingWindowBudgetSettings aSettings)
  : settings(aSettings)
{
}

void
SlidingWindowBudget::EvictExpired(Window& aWindow, TimePoint aNow) const
{
  const TimePoint oldest = aNow - this->settings.window;
  for (auto* times : { &aWindow.requests, &aWindow.repeats }) {
    while (!times->empty() && times->front() <= oldest) {
      times->pop_front();
    }
  }
}

void
SlidingWindowBudget::RecordRequest(const ServiceName& aService, TimePoint aNow)
{
  Window& window = this->windows[aService];
  this->EvictExpired(window, aNow);
  window.requests.push_back(aNow);
}

bool
SlidingWindowBudget::TrySpend(const ServiceName& aService,
                              std::size_t aDaemonCount,
                              TimePoint aNow)
{
  Window& window = this->windows[aService];
  this->EvictExpired(window, aNow);
  const double daemons =
    static_cast<double>(std::max<std::size_t>(aDaemonCount, 1));
  const double allowed =
    this->settings.usableFraction *
    (this->settings.ratio * static_cast<double>(window.requests.size()) +
     this->settings.slack / daemons);
  if (static_cast<double>(window.repeats.size() + 1) > allowed) {
    return false;
  }
  window.repeats.push_back(aNow);
  return true;
}

} // namespace wigeonwalk
