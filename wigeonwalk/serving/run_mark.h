// Tells the poison tracker that a request runs on an upstream.
//
//   RunMark mark(tracker, upstream, print);
//   mark.Settle();   // the tracker has heard how the run ended
#pragma once

#include "wigeonwalk/retry/poison_tracker.h"

#include <utility>

namespace wigeonwalk {

// Marks the request as running on an upstream for the poison tracker.
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
