// Recent failure rate and latency of a runner.
//
//   health.NoteSuccess(elapsed, now);
//   health.NoteFailure(now);
//   if (health.IsAvoided(now)) { ... use it only if there is no other ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstdint>

namespace wigeonwalk {

// Exponential moving averages of failures and latency. A failed runner is
// avoided for a time that doubles with each consecutive failure, so that it is
// tried again but not by every request. Not thread-safe.
class RunnerHealth
{
public:
  // Time in which the failure rate decays to 1/e without new outcomes.
  static constexpr Duration kFailureDecay = std::chrono::seconds(4);
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
  static constexpr Duration kMaxAvoidance = std::chrono::seconds(2);
  // Weight of the latest value in the average latency.
  static constexpr double kLatencySmoothing = 0.1;
  // Weight of the latest outcome in the failure rate.
  static constexpr double kOutcomeSmoothing = 0.15;

  void NoteSuccess(Duration aElapsed, TimePoint aNow);

  // Records an error response. It raises the failure rate, but the runner is
  // not avoided.
  void NoteFailedAnswer(TimePoint aNow);

  // Records that the runner could not be reached or the connection was lost.
  void NoteFailure(TimePoint aNow);

  bool IsAvoided(TimePoint aNow) const { return aNow < this->avoidUntil; }

  // Returns the decayed fraction of failed outcomes, from 0 to 1.
  double FailureRate(TimePoint aNow) const;

  // Returns the average time of successful responses; zero before the first.
  Duration Latency() const { return FromSeconds(this->latency); }

private:
  void NoteOutcome(double aFailed, TimePoint aNow);

  double failureRate = 0;
  TimePoint failureRateAt;
  double latency = 0;
  std::uint32_t consecutiveFailures = 0;
  TimePoint avoidUntil;
};

} // namespace wigeonwalk
