#include "wigeonwalk/standins/engine_model.h"

#include "wigeonwalk/cache/piece_key.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

// Most cache events that are retained. When older ones are dropped, readers see
// a gap in the sequence numbers.
constexpr std::size_t kMaxLoggedEvents = 4096;

} // namespace

EngineModel::EngineModel(EngineStandinSettings aSettings,
                         std::uint64_t aIncarnation)
  : settings(std::move(aSettings))
  , incarnation(aIncarnation)
{
}

PrefillPlan
EngineModel::Admit(const EngineRequest& aRequest, TimePoint aNow)
{
  PrefillPlan plan;
  plan.promptTokens = static_cast<std::uint32_t>(CountTokens(aRequest.prompt));
  for (const PieceKey& piece : aRequest.pieces) {
    if (!this->Holds(piece)) {
      break;
    }
    plan.cachedTokens += kPieceTokens;
  }
  plan.cachedTokens = std::min(plan.cachedTokens, plan.promptTokens);
  const double missing = plan.promptTokens - plan.cachedTokens;
  const Duration work =
    FromSeconds(missing / this->settings.prefillTokensPerSecond);
  this->prefillFreeAt = std::max(this->prefillFreeAt, aNow) + work;
  plan.readyAt = this->prefillFreeAt;
  for (const PieceKey& piece : aRequest.pieces) {
    this->Touch(piece, aNow);
  }
  return plan;
}

void
EngineModel::Insert(const PieceKey& aPiece, TimePoint aNow)
{
  this->Touch(aPiece, aNow);
}

bool
EngineModel::Holds(const PieceKey& aPiece) const
{
  return this->cached.contains(aPiece);
}

void
EngineModel::Touch(const PieceKey& aPiece, TimePoint aNow)
{
  const auto found = this->cached.find(aPiece);
  if (found != this->cached.end()) {
    this->lruOrder.splice(
      this->lruOrder.begin(), this->lruOrder, found->second);
    return;
  }
  this->lruOrder.push_front(aPiece);
  this->cached.emplace(aPiece, this->lruOrder.begin());
  this->Publish(CacheEventKind::Stored, aPiece, aNow);
  while (this->lruOrder.size() * kPieceTokens > this->settings.cacheTokens) {
    const PieceKey oldest = this->lruOrder.back();
    this->lruOrder.pop_back();
    this->cached.erase(oldest);
    this->Publish(CacheEventKind::Evicted, oldest, aNow);
  }
}

void
EngineModel::Publish(CacheEventKind aKind,
                     const PieceKey& aPiece,
                     TimePoint aNow)
{
  this->eventLog.push_back({ aNow, { this->nextSequence++, aKind, aPiece } });
  if (this->eventLog.size() > kMaxLoggedEvents) {
    this->eventLog.erase(this->eventLog.begin(),
                         this->eventLog.begin() + kMaxLoggedEvents / 2);
  }
}

OrderAnswer
EngineModel::Apply(const EngineOrder& aOrder, TimePoint aNow)
{
  if (this->settings.checksFencingNumbers &&
      aOrder.fencingNumber < this->lastFencingNumber) {
    return OrderAnswer::RefusedOldFencingNumber;
  }
  this->lastFencingNumber =
    std::max(this->lastFencingNumber, aOrder.fencingNumber);
  switch (aOrder.kind) {
    case OrderKind::LoadVersion:
      this->settings.model = aOrder.model;
      this->settings.version = WeightVersion(aOrder.target);
      this->lruOrder.clear();
      this->cached.clear();
      this->Publish(CacheEventKind::Cleared, PieceKey(), aNow);
      break;
    case OrderKind::LoadAdapter:
      this->adapters.emplace_back(aOrder.target);
      break;
    case OrderKind::ChangeRole:
      this->role = aOrder.target;
      break;
    case OrderKind::Drain:
      this->role = "draining";
      break;
  }
  return OrderAnswer::Done;
}

LoadReport
EngineModel::Load(TimePoint aNow) const
{
  LoadReport report;
  report.incarnation = this->incarnation;
  report.running = this->running;
  const Duration queued = std::max(Duration(0), this->prefillFreeAt - aNow);
  report.waitingTokens = static_cast<std::uint64_t>(
    ToSeconds(queued) * this->settings.prefillTokensPerSecond);
  const std::uint64_t used = this->lruOrder.size() * kPieceTokens;
  report.freeCacheTokens =
    this->settings.cacheTokens - std::min(used, this->settings.cacheTokens);
  report.measuredAt = aNow;
  return report;
}

CacheEventBatch
EngineModel::EventsSince(std::uint64_t aSequence, TimePoint aNow) const
{
  CacheEventBatch batch;
  batch.incarnation = this->incarnation;
  for (const TimedEvent& timed : this->eventLog) {
    const bool published = timed.at + this->settings.reportLag <= aNow;
    if (timed.event.sequence > aSequence && published) {
      batch.events.push_back(timed.event);
    }
  }
  return batch;
}

EngineState
EngineModel::State() const
{
  return { this->incarnation, this->settings.model, this->settings.version,
           this->adapters,    this->role,           this->lastFencingNumber };
}

std::string
EngineModel::TokenText(const EngineRequest& aRequest, std::uint32_t aIndex)
{
  const std::uint64_t seed =
    static_cast<std::uint64_t>(aRequest.seed.value_or(0));
  const Hash128 prompt = HashBytes(aRequest.prompt, seed);
  const Hash128 token =
    HashBytes(aRequest.version.Text() + prompt.ToHex(), aIndex);
  return 'w' + std::to_string(token.low % 10'000) + ' ';
}

} // namespace wigeonwalk
