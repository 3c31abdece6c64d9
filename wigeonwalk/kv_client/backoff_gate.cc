#include "wigeonwalk/kv_client/backoff_gate.h"

#include <algorithm>

namespace wigeonwalk {

BackoffGate::BackoffGate(std::uint64_t aSeed)
  : random(aSeed)
{
}

GateAdmission
BackoffGate::Admit(TimePoint aNow)
{
  if (!this->closed) {
    return GateAdmission::Open;
  }
  if (aNow < this->retryAt) {
    return GateAdmission::Closed;
  }
  this->retryAt = aNow + kProbeTimeout;
  this->isProbeInFlight = true;
  return GateAdmission::Probe;
}

bool
BackoffGate::RecordSuccess(TimePoint)
{
  const bool opened = this->closed;
  this->closed = false;
  this->isProbeInFlight = false;
  this->failures = 0;
  this->backoff = kInitialBackoff;
  return opened;
}

bool
BackoffGate::RecordFailure(TimePoint aNow)
{
  // A failure of a call that was in flight when the gate closed is no new
  // information.
  if (this->closed && !this->isProbeInFlight) {
    return false;
  }
  ++this->failures;
  if (this->failures < kFailuresToClose) {
    return false;
  }
  this->isProbeInFlight = false;
  const bool justClosed = !this->closed;
  this->closed = true;
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  this->retryAt =
    aNow + FromSeconds(ToSeconds(this->backoff) * jitter(this->random));
  this->backoff = std::min(this->backoff * 2, kMaxBackoff);
  return justClosed;
}

} // namespace wigeonwalk
