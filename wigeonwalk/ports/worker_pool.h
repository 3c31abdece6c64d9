// Port for CPU-bound work that would block the I/O thread for too long.
//
//   auto chain = co_await workers.RunOnPool([&] { return PieceChain(salt,
//   text); });
#pragma once

#include "wigeonwalk/ports/task.h"

#include <concepts>

namespace wigeonwalk {

// Runs a function on a pool thread, then resumes the calling coroutine on its
// own thread.
template<typename T>
concept WorkerPool = requires(T& aWorkers, int (*aFunction)())
{
  {
    aWorkers.RunOnPool(aFunction)
    } -> std::same_as<Task<int>>;
};

} // namespace wigeonwalk
