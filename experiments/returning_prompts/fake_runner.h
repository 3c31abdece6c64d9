// A fake runner: a queue, a prefill rate and a bounded prefix cache.
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
  // Pieces [restoreFrom, restoreTo) are imported once `ready`.
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  bool ready = true;
  // Results: tokens that were prefilled, and whether the runner ran the job.
  double computedTokens = 0;
  bool completed = false;
  Signal done;

  // Stored pieces that the policy saw, and whether all of them arrived.
  std::size_t storedPieces = 0;
  bool restored = true;

  bool started = false;
  double remainingTokens = 0;
};

// Serves the highest class first, in order of arrival, one piece at a time, so
// that a quick question interrupts a long reading. Its task is Serve.
class FakeRunner
{
public:
  FakeRunner(VirtualTime& aTime, double aTokensPerSecond, std::size_t aPieces);

  Task<void> Serve();
  void Submit(std::shared_ptr<Job> aJob);

  // A job's import has ended.
  void NotifyReady() { this->wake.Notify(); }

  // Fails all jobs and all later ones.
  void Stop();
  bool Stopped() const { return this->stopped; }

  // Seconds of prefill that wait, as the runner itself knows them.
  double WaitingSeconds() const;

  // Leading pieces of a chain in the prefix cache.
  std::size_t CachedPieces(const std::vector<PieceKey>& aChain) const;

  // Takes the cache events since the last call.
  std::vector<CacheEvent> TakeEvents();

  // All pieces in the cache, and the sequence of the last event.
  CacheEventBatch ListCache() const;
  std::uint64_t LastSequence() const { return this->sequence; }

  double BusySeconds() const { return this->busySeconds; }

private:
  std::shared_ptr<Job> Next() const;
  void StartJob(Job& aJob);
  void FinishJob(const std::shared_ptr<Job>& aJob);
  void Touch(const PieceKey& aPiece);
  void Emit(CacheEventKind aKind, const PieceKey& aPiece);

  VirtualTime& time;
  double tokensPerSecond;
  std::size_t maxPieces;
  Signal wake;
  bool stopped = false;
  std::list<std::shared_ptr<Job>> jobs;
  std::list<PieceKey> order;
  std::unordered_map<PieceKey, std::list<PieceKey>::iterator> cache;
  std::vector<CacheEvent> events;
  std::uint64_t sequence = 0;
  double busySeconds = 0;
};

} // namespace wigeonwalk::replay
