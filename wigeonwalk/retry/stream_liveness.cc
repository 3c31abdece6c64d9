#include "wigeonwalk/retry/stream_liveness.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

StreamLiveness::StreamLiveness(LivenessSettings aSettings,
                               Duration aFirstTokenWait,
                               TimePoint aNow)
  : settings(aSettings)
  , lastTokenAt(aNow)
  , probeAt(aNow + std::max(aSettings.maxTimeout,
                            aFirstTokenWait * aSettings.firstTokenFactor))
{
}

void
StreamLiveness::RecordToken(TimePoint aNow)
{
  // Weights that RFC 6298 gives for mean and deviation.
  constexpr double kMeanWeight = 1.0 / 8;
  constexpr double kDeviationWeight = 1.0 / 4;
  constexpr double kLargestDecay = 1.0 / 32;
  const auto gap = static_cast<double>((aNow - this->lastTokenAt).count());
  if (this->hasGap) {
    this->deviation +=
      kDeviationWeight * (std::abs(gap - this->meanGap) - this->deviation);
    this->meanGap += kMeanWeight * (gap - this->meanGap);
  } else if (this->hasToken) {
    this->meanGap = gap;
    this->deviation = gap / 2;
    this->hasGap = true;
  }
  if (this->hasGap) {
    this->largestGap = std::max(gap, this->largestGap * (1 - kLargestDecay));
  }
  this->hasToken = true;
  this->extensionsUsed = 0;
  this->lastTokenAt = aNow;
  this->probeAt = aNow + this->ExpectedGap();
}

LivenessAction
StreamLiveness::DecideAfterProbe(ProbeResult aResult,
                                 bool aIdempotent,
                                 TimePoint aNow)
{
  if (aResult == ProbeResult::AnsweredBusy &&
      this->extensionsUsed < this->settings.maxExtensions) {
    ++this->extensionsUsed;
    this->probeAt = aNow + this->settings.maxTimeout;
    return LivenessAction::KeepWaiting;
  }
  if (!aIdempotent) {
    return LivenessAction::EndRequest;
  }
  switch (aResult) {
    case ProbeResult::Answered:
    case ProbeResult::AnsweredBusy:
      return LivenessAction::ResumeSameUpstream;
    case ProbeResult::Restarted:
    case ProbeResult::Refused:
    case ProbeResult::NoAnswer:
      break;
  }
  return LivenessAction::MoveToOtherUpstream;
}

Duration
StreamLiveness::ExpectedGap() const
{
  if (!this->hasGap) {
    return this->settings.maxTimeout;
  }
  const double expected =
    std::max(this->meanGap + this->settings.deviationFactor * this->deviation,
             this->settings.largestGapFactor * this->largestGap);
  return std::clamp(
    Duration(static_cast<Duration::rep>(expected)),
    this->settings.minTimeout,
    std::max(this->settings.minTimeout, this->settings.maxTimeout));
}

bool
MayReuse(const PooledConnection& aConnection, bool aIdempotent, TimePoint aNow)
{
  if (aConnection.sawCancel || aConnection.sawTimeout ||
      aConnection.sawLeftoverByte) {
    return false;
  }
  const Duration longest = aIdempotent ? kMaxIdle : kMaxIdleNonIdempotent;
  return aNow - aConnection.lastUsedAt <= longest;
}

} // namespace wigeonwalk
