#include "returning_prompts/fake_runner.h"

#include <algorithm>

namespace wigeonwalk::replay {

FakeRunner::FakeRunner(VirtualTime& aTime,
                       double aTokensPerSecond,
                       std::size_t aPieces)
  : time(aTime)
  , tokensPerSecond(aTokensPerSecond)
  , maxPieces(aPieces)
  , jobsChanged(aTime)
{
}

void
FakeRunner::Submit(std::shared_ptr<Job> aJob)
{
  if (this->stopped) {
    aJob->done.Notify();
    return;
  }
  this->jobs.push_back(std::move(aJob));
  this->jobsChanged.Notify();
}

void
FakeRunner::Stop()
{
  this->stopped = true;
  for (const auto& job : this->jobs) {
    job->done.Notify();
  }
  this->jobs.clear();
}

std::shared_ptr<Job>
FakeRunner::NextJob() const
{
  std::shared_ptr<Job> next;
  for (const auto& job : this->jobs) {
    if (job->ready &&
        (next == nullptr || job->requestClass < next->requestClass)) {
      next = job;
    }
  }
  return next;
}

Task<void>
FakeRunner::Serve()
{
  while (!this->stopped) {
    const std::shared_ptr<Job> job = this->NextJob();
    if (job == nullptr) {
      this->jobsChanged.Reset();
      co_await this->jobsChanged.Wait();
      continue;
    }
    if (!job->started) {
      this->StartJob(*job);
    }
    const double tokens = std::min<double>(job->remainingTokens, kPieceTokens);
    const double seconds = tokens / this->tokensPerSecond;
    co_await this->time.WaitUntil(this->time.Now() + FromSeconds(seconds));
    this->busySeconds += seconds;
    job->remainingTokens -= tokens;
    if (job->remainingTokens <= 0 && !this->stopped) {
      this->FinishJob(job);
    }
  }
}

void
FakeRunner::StartJob(Job& aJob)
{
  std::size_t held = 0;
  while (held < aJob.chain.size()) {
    const bool restored = held >= aJob.restoreFrom && held < aJob.restoreTo;
    if (!restored && !this->cache.contains(aJob.chain[held])) {
      break;
    }
    ++held;
  }
  const double heldTokens = static_cast<double>(held) * kPieceTokens;
  aJob.started = true;
  // The last token is always computed, to produce the first answer token.
  aJob.remainingTokens =
    std::max(1.0, static_cast<double>(aJob.tokens) - heldTokens);
  aJob.computedTokens = aJob.remainingTokens;
  for (const PieceKey& piece : aJob.chain) {
    this->Touch(piece);
  }
}

void
FakeRunner::FinishJob(const std::shared_ptr<Job>& aJob)
{
  this->jobs.remove(aJob);
  for (const PieceKey& piece : aJob->chain) {
    this->Touch(piece);
  }
  aJob->completed = true;
  aJob->done.Notify();
}

void
FakeRunner::Touch(const PieceKey& aPiece)
{
  const auto known = this->cache.find(aPiece);
  if (known != this->cache.end()) {
    this->recency.splice(this->recency.begin(), this->recency, known->second);
    return;
  }
  this->recency.push_front(aPiece);
  this->cache[aPiece] = this->recency.begin();
  this->Emit(CacheEventKind::Stored, aPiece);
  if (this->cache.size() > this->maxPieces) {
    const PieceKey evicted = this->recency.back();
    this->recency.pop_back();
    this->cache.erase(evicted);
    this->Emit(CacheEventKind::Evicted, evicted);
  }
}

void
FakeRunner::Emit(CacheEventKind aKind, const PieceKey& aPiece)
{
  this->events.push_back({ ++this->sequence, aKind, aPiece });
}

double
FakeRunner::WaitingSeconds() const
{
  double tokens = 0;
  for (const auto& job : this->jobs) {
    const double held =
      static_cast<double>(job->restoreTo) * static_cast<double>(kPieceTokens);
    tokens += job->started ? job->remainingTokens
                           : std::max(1.0, double(job->tokens) - held);
  }
  return tokens / this->tokensPerSecond;
}

std::size_t
FakeRunner::CachedPieces(const std::vector<PieceKey>& aChain) const
{
  std::size_t pieces = 0;
  while (pieces < aChain.size() && this->cache.contains(aChain[pieces])) {
    ++pieces;
  }
  return pieces;
}

std::vector<CacheEvent>
FakeRunner::TakeEvents()
{
  return std::exchange(this->events, {});
}

CacheEventBatch
FakeRunner::ListCache() const
{
  CacheEventBatch batch;
  batch.incarnation = 1;
  for (const PieceKey& piece : this->recency) {
    batch.events.push_back({ 0, CacheEventKind::Stored, piece });
  }
  return batch;
}

} // namespace wigeonwalk::replay
