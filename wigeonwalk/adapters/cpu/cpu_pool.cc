#include "wigeonwalk/adapters/cpu/cpu_pool.h"

#include "wigeonwalk/adapters/cpu/internal/tbb_arena.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace wigeonwalk {

namespace {

std::uint32_t
ThreadCount(std::uint32_t aThreads)
{
  return aThreads > 0 ? aThreads
                      : std::max(1U, std::thread::hardware_concurrency());
}

} // namespace

// Job queue, guarded by a mutex. Each task of the arena runs the next job.
struct CpuPool::Queue
{
  explicit Queue(std::uint32_t aThreads)
    : arena(aThreads)
  {
  }

  void RunNext()
  {
    std::function<void()> job;
    {
      const std::lock_guard lock(this->mutex);
      job = std::move(this->jobs.front());
      this->jobs.pop_front();
    }
    job();
    // Destroys the job's captures before the job counts as finished, because
    // the pool's destructor may return after that.
    job = nullptr;
    const std::lock_guard lock(this->mutex);
    --this->unfinished;
    this->finished.notify_all();
  }

  std::mutex mutex;
  std::condition_variable finished;
  std::deque<std::function<void()>> jobs;
  std::size_t unfinished = 0;
  cpu_internal::TbbArena arena;
};

CpuPool::CpuPool(std::uint32_t aThreads)
  : queue(std::make_unique<Queue>(ThreadCount(aThreads)))
{
}

CpuPool::~CpuPool()
{
  std::unique_lock lock(this->queue->mutex);
  this->queue->finished.wait(lock,
                             [this] { return this->queue->unfinished == 0; });
}

void
CpuPool::Enqueue(std::function<void()> aJob)
{
  {
    const std::lock_guard lock(this->queue->mutex);
    this->queue->jobs.push_back(std::move(aJob));
    ++this->queue->unfinished;
  }
  this->queue->arena.Enqueue(
    [](void* aQueue) { static_cast<Queue*>(aQueue)->RunNext(); },
    this->queue.get());
}

} // namespace wigeonwalk
