#include "wigeonwalk/fleet/runner_health.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

double
RunnerHealth::FailureRate(TimePoint aNow) const
{
  const double age = ToSeconds(aNow - this->failureRateAt);
  return this->failureRate * std::exp(-age / ToSeconds(kFailureDecay));
}

void
RunnerHealth::NoteOutcome(double aFailed, TimePoint aNow)
{
  const double rate = this->FailureRate(aNow);
  this->failureRate = rate + kOutcomeSmoothing * (aFailed - rate);
  this->failureRateAt = aNow;
}

void
RunnerHealth::NoteSuccess(Duration aElapsed, TimePoint aNow)
{
  this->NoteOutcome(0, aNow);
  this->consecutiveFailures = 0;
  this->avoidUntil = TimePoint();
  const double seconds = ToSeconds(aElapsed);
  this->latency =
    this->latency == 0
      ? seconds
      : this->latency + kLatencySmoothing * (seconds - this->latency);
}

void
RunnerHealth::NoteFailedAnswer(TimePoint aNow)
{
  this->NoteOutcome(1, aNow);
}

void
RunnerHealth::NoteFailure(TimePoint aNow)
{
  this->NoteOutcome(1, aNow);
  const std::uint32_t doublings =
    std::min<std::uint32_t>(this->consecutiveFailures++, 10);
  this->avoidUntil =
    aNow + std::min(kFirstAvoidance * (1 << doublings), kMaxAvoidance);
}

} // namespace wigeonwalk
