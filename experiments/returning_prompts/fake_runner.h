// A fake runner: a queue, a prefill rate and a bounded prefix cache.
//
//   FakeRunner runner(time, 16'000, 360);
//   time.Spawn(runner.Serve());
//   runner.Submit(job);
//   co_await job->done.Wait();
#pragma once

#include "returning_prompts/signal.h"
#include "wigeonwalk/cache/piece_key.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wigeonwalk::replay {

// One request on a runner.
struct Job
{
  explicit Job(VirtualTime& aTime)
    : done(aTime)
  {
  }

  std::vector<PieceKey> chain;
  std::uint64_t tokens = 0;
  RequestClass requestClass = RequestClass::Standard;
  // Pieces [restoreFrom, restoreTo) of the chain are restored. Prefill starts
  // only when `ready` is true.
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  bool ready = true;
  // Results: the tokens that were prefilled, and whether the job completed.
  double computedTokens = 0;
  bool completed = false;
  Signal done;

  // Number of stored pieces that the policy knew of, and whether the restore
  // was complete.
  std::size_t storedPieces = 0;
  bool restored = true;

  bool started = false;
  double remainingTokens = 0;
};

// Prefills one piece at a time. Each time, the job of the highest request class
// goes first, then the one that arrived first, so that a short question
// preempts the prefill of a long prompt. The coroutine Serve must be spawned
// once.
class FakeRunner
{
public:
  FakeRunner(VirtualTime& aTime, double aTokensPerSecond, std::size_t aPieces);

  Task<void> Serve();
  void Submit(std::shared_ptr<Job> aJob);

  // Tells the runner that a job has become ready.
  void NotifyReady() { this->jobsChanged.Notify(); }

  // Fails all jobs, and all that are submitted later.
  void Stop();
  bool Stopped() const { return this->stopped; }

  // Returns the exact seconds of prefill that wait.
  double WaitingSeconds() const;

  // Returns the number of leading pieces of a chain that the prefix cache
  // holds.
  std::size_t CachedPieces(const std::vector<PieceKey>& aChain) const;

  // Returns the cache events since the last call.
  std::vector<CacheEvent> TakeEvents();

  // Returns all pieces in the cache, and the sequence number of the last event.
  CacheEventBatch ListCache() const;
  std::uint64_t LastSequence() const { return this->sequence; }

  double BusySeconds() const { return this->busySeconds; }

private:
  std::shared_ptr<Job> NextJob() const;
  void StartJob(Job& aJob);
  void FinishJob(const std::shared_ptr<Job>& aJob);
  void Touch(const PieceKey& aPiece);
  void Emit(CacheEventKind aKind, const PieceKey& aPiece);

  VirtualTime& time;
  double tokensPerSecond;
  std::size_t maxPieces;
  Signal jobsChanged;
  bool stopped = false;
  std::list<std::shared_ptr<Job>> jobs;
  std::list<PieceKey> recency;
  std::unordered_map<PieceKey, std::list<PieceKey>::iterator> cache;
  std::vector<CacheEvent> events;
  std::uint64_t sequence = 0;
  double busySeconds = 0;
};

} // namespace wigeonwalk::replay
