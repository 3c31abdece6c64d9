// Ports for reading the current time and for waiting.
//
//   template<Timer T>
//   Task<> Beat(T& aTimer) {
//     co_await aTimer.WaitUntil(aTimer.Now() + std::chrono::seconds(1));
//   }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>

namespace wigeonwalk {

// Returns the current time. Never goes backwards within a process.
template<typename T>
concept Clock = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<TimePoint>;
};

// A clock on which a coroutine can wait. Waiting for a time in the past returns
// immediately. Cancelling the coroutine ends the wait.
template<typename T>
concept Timer = Clock<T> && requires(T& aTimer, TimePoint aTime)
{
  {
    aTimer.WaitUntil(aTime)
    } -> std::same_as<Task<void>>;
};

} // namespace wigeonwalk
