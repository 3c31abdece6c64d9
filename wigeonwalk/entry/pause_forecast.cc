#include "wigeonwalk/entry/pause_forecast.h"

#include <algorithm>

namespace wigeonwalk {

PauseForecast
ForecastPause(const EntryState& aState,
              const ServiceName& aService,
              const std::vector<UpstreamId>& aTried,
              TimePoint aNow)
{
  PauseForecast forecast;
  // Each waiting request asks many times a second.
  if (aState.requestedPauses == 0) {
    return forecast;
  }
  for (const auto& runner : aState.fleet.RunnersOf(aService)) {
    const bool tried =
      std::find(aTried.begin(), aTried.end(), runner->entry.id) != aTried.end();
    if (runner->IsGone(aNow)) {
      continue;
    }
    if (runner->requestedPause.Admits(aNow)) {
      if (!tried) {
        return {};
      }
      continue;
    }
    const RequestedPause& pause = runner->requestedPause;
    const TimePoint end = pause.AdmitsFrom();
    forecast.any = std::min(forecast.any.value_or(end), end);
    if (!tried) {
      // After the pause, the answer to a first request may come at any time.
      const TimePoint soonest = pause.IsPaused(aNow) ? end : aNow;
      forecast.untried = std::min(forecast.untried.value_or(soonest), soonest);
    }
  }
  return forecast;
}

double
SpreadOfRequest(const RequestId& aRequest)
{
  constexpr std::uint64_t kSteps = 1'024;
  return static_cast<double>(HashBytes(aRequest.Text(), 0).low % kSteps) /
         kSteps;
}

Duration
RetryAfterPause(TimePoint aEnd, double aSpread, TimePoint aNow)
{
  constexpr Duration kMinSpread = std::chrono::milliseconds(200);
  constexpr Duration kMaxSpread = std::chrono::seconds(2);
  const Duration left = std::max(aEnd - aNow, Duration(0));
  const Duration spread = std::clamp(left / 2, kMinSpread, kMaxSpread);
  return left + FromSeconds(aSpread * ToSeconds(spread));
}

} // namespace wigeonwalk
