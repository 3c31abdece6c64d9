// Wraps the oneTBB arena of CpuPool, so that only tbb_arena.cc includes
// oneTBB's headers.
//
//   TbbArena arena(4);
//   arena.Enqueue([](void* aQueue) { ... }, &queue);
#pragma once

#include <cstdint>
#include <memory>

namespace wigeonwalk::cpu_internal {

// Worker threads that call plain functions. Thread-safe.
class TbbArena
{
public:
  explicit TbbArena(std::uint32_t aThreads);
  ~TbbArena();
  TbbArena(const TbbArena&) = delete;
  TbbArena& operator=(const TbbArena&) = delete;

  // Calls the function with its argument on a worker.
  void Enqueue(void (*aFunction)(void*), void* aArgument);

private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

} // namespace wigeonwalk::cpu_internal
