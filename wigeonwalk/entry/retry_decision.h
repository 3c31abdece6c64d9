// Whether a failed request is sent again, and when its caller should return.
//
//   if (MayRetry(state, failed, now)) { ... the next attempt ... }
//   refusal.retryAfter = RetryAfterFailure(state, refused, now);
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <cstdint>
#include <vector>

namespace wigeonwalk {

// Connection attempts for one request before it is refused.
inline constexpr int kMaxConnectAttempts = 4;

// Delay after which a caller should retry a request that did not run, if
// nothing says when a runner takes it.
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(100);

// A request whose last attempt failed.
struct FailedRequest
{
  const AdmittedRequest& admitted;
  const std::vector<UpstreamId>& tried;
  // Of all attempts together.
  Verdict verdict = Verdict::NotRun;
  // Attempts that may have reached a runner, and all of them.
  std::uint32_t sentAttempts = 0;
  int connectAttempts = 0;
  // The caller has received a part of a stream.
  bool streamStarted = false;
  bool knowsLastEvent = false;
  // The version of the software that began the stream is known.
  bool knowsOrigin = false;
};

// Returns true if another attempt is safe (the request can't run twice, or may
// do so, and none of its parts is suspected to crash runners) and the route,
// the deadline and the retry budget allow it. Takes it from the budget.
bool
MayRetry(EntryState& aState, const FailedRequest& aFailed, TimePoint aNow);

// A request that is refused, without having run.
struct RefusedRequest
{
  const RequestId& id;
  // Null if the request was not admitted.
  const ServiceConfiguration* service = nullptr;
  ReasonCode reason = ReasonCode::None;
};

// Returns the delay after which the caller should retry: when one of the
// runners may take its next request.
Duration
RetryAfterFailure(const EntryState& aState,
                  const RefusedRequest& aRefused,
                  TimePoint aNow);

} // namespace wigeonwalk
