#include "wigeonwalk/entry/retry_decision.h"

#include "wigeonwalk/entry/pause_forecast.h"

namespace wigeonwalk {

bool
MayRetry(EntryState& aState, const FailedRequest& aFailed, TimePoint aNow)
{
  const AdmittedRequest& admitted = aFailed.admitted;
  const bool mayRunAgain =
    admitted.route->MayRunAgain() &&
    (!aFailed.streamStarted || (admitted.route->resumable &&
                                aFailed.knowsLastEvent && aFailed.knowsOrigin));
  if (!MayRepeat(aFailed.verdict, mayRunAgain) ||
      aFailed.sentAttempts >= admitted.route->maxAttempts ||
      aFailed.connectAttempts >= kMaxConnectAttempts) {
    return false;
  }
  const bool isSuspected = aState.partCrashes.StatusOf(
                             admitted.sharedParts, aNow) != PartStatus::Clear;
  if (aNow >= admitted.deadline ||
      (isSuspected && aFailed.verdict != Verdict::NotRun)) {
    return false;
  }
  const ServiceName& service = admitted.service->name;
  const PauseForecast pauses =
    ForecastPause(aState, service, aFailed.tried, aNow);
  if (pauses.any && !pauses.untried) {
    return false;
  }
  // A failed connection attempt does not count towards the retry budget, as
  // nothing reached a runner.
  return aFailed.sentAttempts == 0 ||
         aState.retryBudget.TrySpend(service, aState.DaemonCount(), aNow);
}

Duration
RetryAfterFailure(const EntryState& aState,
                  const RefusedRequest& aRefused,
                  TimePoint aNow)
{
  if (aRefused.reason == ReasonCode::Poisoned) {
    return PartCrashTracker::kRefusal;
  }
  if (aRefused.service == nullptr) {
    return kDefaultRetryAfter;
  }
  const PauseForecast pauses =
    ForecastPause(aState, aRefused.service->name, {}, aNow);
  return pauses.any
           ? RetryAfterPause(*pauses.any, SpreadOfRequest(aRefused.id), aNow)
           : kDefaultRetryAfter;
}

} // namespace wigeonwalk
