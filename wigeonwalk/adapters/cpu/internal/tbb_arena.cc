#include "wigeonwalk/adapters/cpu/internal/tbb_arena.h"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>

#ifdef WIGEONWALK_ANNOTATE_TSAN
#include <sanitizer/tsan_interface.h>
#endif

namespace wigeonwalk::cpu_internal {

namespace {

// Declares to ThreadSanitizer what oneTBB guarantees: Enqueue happens before
// the call on the worker.
void
AnnotateEnqueue([[maybe_unused]] void* aArena)
{
#ifdef WIGEONWALK_ANNOTATE_TSAN
  __tsan_release(aArena);
#endif
}

void
AnnotateCall([[maybe_unused]] void* aArena)
{
#ifdef WIGEONWALK_ANNOTATE_TSAN
  __tsan_acquire(aArena);
#endif
}

} // namespace

struct TbbArena::Impl
{
  explicit Impl(std::uint32_t aThreads)
    // The limit also counts the thread that owns the arena.
    : limit(tbb::global_control::max_allowed_parallelism, aThreads + 1)
    // Reserves no slot for calling threads: the I/O thread never runs jobs.
    , workers(static_cast<int>(aThreads), 0)
  {
  }

  tbb::global_control limit;
  tbb::task_arena workers;
};

TbbArena::TbbArena(std::uint32_t aThreads)
  : impl(std::make_unique<Impl>(aThreads))
{
}

TbbArena::~TbbArena() = default;

void
TbbArena::Enqueue(void (*aFunction)(void*), void* aArgument)
{
  Impl* const arena = this->impl.get();
  AnnotateEnqueue(arena);
  arena->workers.enqueue([=] {
    AnnotateCall(arena);
    aFunction(aArgument);
  });
}

} // namespace wigeonwalk::cpu_internal
