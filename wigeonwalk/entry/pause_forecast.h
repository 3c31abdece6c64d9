// When the runners of a service take requests again, if all of them asked for a
// pause.
//
//   const PauseForecast pauses = ForecastPause(state, service, tried, now);
//   if (pauses.any) { ... refuse; Retry-After: RetryAfterPause(...) ... }
#pragma once

#include "wigeonwalk/entry/entry_state.h"

#include <optional>
#include <vector>

namespace wigeonwalk {

// Set only if no runner of the service can take the request for another reason
// than its pause.
struct PauseForecast
{
  // When the first runner takes requests again; nothing if none pauses.
  std::optional<TimePoint> any;
  // The same among the runners that the request has not been sent to.
  std::optional<TimePoint> untried;
};

PauseForecast
ForecastPause(const EntryState& aState,
              const ServiceName& aService,
              const std::vector<UpstreamId>& aTried,
              TimePoint aNow);

// Returns a number in [0, 1) that differs between requests.
double
SpreadOfRequest(const RequestId& aRequest);

// Returns the delay until a retry after a pause that ends at `aEnd`. Callers
// return one after the other, over a longer time after a longer pause: more of
// them were refused.
Duration
RetryAfterPause(TimePoint aEnd, double aSpread, TimePoint aNow);

} // namespace wigeonwalk
