// How well a runner has answered lately.
//
//   health.NoteSuccess(elapsed, now);
//   health.NoteFailure(now);
//   if (health.IsAvoided(now)) { ... only where no other runner is left ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstdint>

namespace wigeonwalk {

// Decaying averages of failures and latency. A failed runner is avoided for a
// time that doubles with each further failure in a row, so that it is tried
// again but not by every request. One thread only.
class RunnerHealth
{
public:
  // Time in which the weight of a failure falls to 1/e.
  static constexpr Duration kMemory = std::chrono::seconds(4);
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
  static constexpr Duration kLongestAvoidance = std::chrono::seconds(2);
  // Weight of the latest value in the average latency.
  static constexpr double kLatencyStep = 0.1;
  // Weight of the latest outcome in the failure rate.
  static constexpr double kOutcomeStep = 0.15;

  void NoteSuccess(Duration aElapsed, TimePoint aNow);

  // The runner answered, and the answer was a failure of its own.
  void NoteFailedAnswer(TimePoint aNow);

  // The runner could not be reached, or broke off.
  void NoteFailure(TimePoint aNow);

  bool IsAvoided(TimePoint aNow) const { return aNow < this->avoidUntil; }

  // Recent failures as a share of the answers, from 0 to 1.
  double FailureRate(TimePoint aNow) const;

  // Average time of successful answers; zero before the first.
  Duration Latency() const { return FromSeconds(this->latency); }

private:
  void NoteOutcome(double aFailed, TimePoint aNow);

  double failureRate = 0;
  TimePoint failureRateAt;
  double latency = 0;
  std::uint32_t failuresInRow = 0;
  TimePoint avoidUntil;
};

} // namespace wigeonwalk
