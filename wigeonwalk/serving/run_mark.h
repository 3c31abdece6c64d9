// Scope guard that tells the poison tracker when a request's run has ended.
//
//   RunMark mark(tracker, upstream, print);
//   mark.Settle();   // the outcome was reported to the tracker
#pragma once

#include "wigeonwalk/retry/poison_tracker.h"

#include <utility>

namespace wigeonwalk {

// Reports the end of a request's run on an upstream to the poison tracker when
// destroyed, unless the outcome was already reported.
class RunMark
{
public:
  RunMark(PoisonTracker& aTracker, UpstreamId aUpstream, Fingerprint aPrint)
    : tracker(aTracker)
    , upstream(std::move(aUpstream))
    , print(aPrint)
  {
  }
  ~RunMark()
  {
    if (!this->settled) {
      this->tracker.Ended(this->upstream, this->print);
    }
  }
  RunMark(const RunMark&) = delete;
  RunMark& operator=(const RunMark&) = delete;
  void Settle() { this->settled = true; }

private:
  PoisonTracker& tracker;
  UpstreamId upstream;
  Fingerprint print;
  bool settled = false;
};

} // namespace wigeonwalk
