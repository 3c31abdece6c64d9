// Port for CPU work that is too long for the I/O thread.
//
//   auto chain = co_await workers.RunOnPool([&] { return PieceChain(salt,
//   text); });
#pragma once

#include "wigeonwalk/ports/task.h"

#include <concepts>

namespace wigeonwalk {

// Runs a function on another thread and resumes the coroutine on its own one.
template<typename T>
concept Workers = requires(T& aWorkers, int (*aFunction)())
{
  {
    aWorkers.RunOnPool(aFunction)
    } -> std::same_as<Task<int>>;
};

} // namespace wigeonwalk
