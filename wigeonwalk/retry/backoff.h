// Exponential backoff with jitter, within the caller's deadline.
//
//   auto next = NextAttemptAt(settings, failures, now, deadline, random);
//   if (next) { co_await timer.WaitUntil(*next); }
#pragma once

#include "wigeonwalk/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>

namespace wigeonwalk {

// How long to wait between attempts of one request.
struct BackoffSettings
{
  Duration initialDelay = std::chrono::milliseconds(20);
  Duration maxDelay = std::chrono::seconds(2);
  // Minimum time that an attempt needs; none is started closer than this to the
  // deadline.
  Duration minAttemptTime = std::chrono::milliseconds(50);
};

// Returns the delay without jitter after a number of failures (1, 2, ...).
constexpr Duration
BackoffDelay(const BackoffSettings& aSettings, std::uint32_t aFailures)
{
  Duration delay = aSettings.initialDelay;
  for (std::uint32_t i = 1; i < aFailures && delay < aSettings.maxDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, aSettings.maxDelay);
}

// Returns the time of the next attempt. Half of the delay is fixed and half is
// random, so that requests that failed together are not retried together.
// Returns nothing if the attempt could not finish before the deadline.
template<std::uniform_random_bit_generator Random>
std::optional<TimePoint>
NextAttemptAt(const BackoffSettings& aSettings,
              std::uint32_t aFailures,
              TimePoint aNow,
              TimePoint aDeadline,
              Random& aRandom)
{
  const Duration delay = BackoffDelay(aSettings, aFailures);
  std::uniform_int_distribution<Duration::rep> jitter(0, delay.count() / 2);
  const TimePoint at = aNow + delay / 2 + Duration(jitter(aRandom));
  if (at + aSettings.minAttemptTime > aDeadline) {
    return std::nullopt;
  }
  return at;
}

} // namespace wigeonwalk
