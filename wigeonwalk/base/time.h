// Types for durations and points in time.
//
// Functions that make decisions get the current time as an argument. Only the
// clock adapter reads a clock.
//
//   TimePoint deadline = aNow + std::chrono::milliseconds(300);
#pragma once

#include <chrono>

namespace wigeonwalk {

// A duration in microseconds.
using Duration = std::chrono::microseconds;

// A point in time in microseconds since the Unix epoch.
using TimePoint = std::chrono::sys_time<Duration>;

// Returns a duration in seconds as a floating-point number.
constexpr double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Returns the duration nearest to a number of seconds.
constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace wigeonwalk
