// Scope guard that tells the poison tracker when a request's run has ended.
//
//   PoisonRunGuard guard(tracker, upstream, fingerprint);
//   guard.Dismiss();   // the outcome was reported to the tracker
#pragma once

#include "wigeonwalk/retry/poison_tracker.h"

#include <utility>

namespace wigeonwalk {

// Reports the end of a request's run on an upstream to the poison tracker when
// destroyed, unless the outcome was already reported.
class PoisonRunGuard
{
public:
  PoisonRunGuard(PoisonTracker& aTracker,
                 UpstreamId aUpstream,
                 Fingerprint aFingerprint)
    : tracker(aTracker)
    , upstream(std::move(aUpstream))
    , fingerprint(aFingerprint)
  {
  }
  ~PoisonRunGuard()
  {
    if (!this->dismissed) {
      this->tracker.Ended(this->upstream, this->fingerprint);
    }
  }
  PoisonRunGuard(const PoisonRunGuard&) = delete;
  PoisonRunGuard& operator=(const PoisonRunGuard&) = delete;
  void Dismiss() { this->dismissed = true; }

private:
  PoisonTracker& tracker;
  UpstreamId upstream;
  Fingerprint fingerprint;
  bool dismissed = false;
};

} // namespace wigeonwalk
