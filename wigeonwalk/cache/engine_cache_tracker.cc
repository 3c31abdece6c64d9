#include "wigeonwalk/cache/engine_cache_tracker.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Weight of the newest sample in the moving averages.
constexpr double kNewestWeight = 0.05;

void
UpdateAverage(double& aAverage, double aSample)
{
  aAverage =
    aAverage == 0 ? aSample : aAverage + kNewestWeight * (aSample - aAverage);
}

} // namespace

// Returns the confidence in a reported piece: 1 while it is fresh, falling to
// kUncertainWeight when its age reaches the usual time to eviction.
double
EngineCacheTracker::Engine::Weight(TimePoint aLastUse, TimePoint aNow) const
{
  if (this->uncertain) {
    return kUncertainWeight;
  }
  if (this->evictionAge <= 0) {
    return 1;
  }
  const double age = ToSeconds(aNow - aLastUse) + this->eventDelay;
  const double stale =
    (age / this->evictionAge - kFreshAgeFraction) / (1 - kFreshAgeFraction);
  return 1 - (1 - kUncertainWeight) * std::clamp(stale, 0.0, 1.0);
}

EngineCacheTracker::EngineCacheTracker(std::size_t aMaxPieces)
  : maxPieces(std::max<std::size_t>(aMaxPieces, 1))
{
}

void
EngineCacheTracker::ApplyOne(Engine& aEngine,
                             const CacheEvent& aEvent,
                             TimePoint aNow)
{
  switch (aEvent.kind) {
    case CacheEventKind::Stored: {
      // If an engine reports more pieces than the bound, an arbitrary one is
      // dropped. This costs at most one recomputation.
      if (aEngine.stored.size() >= this->maxPieces) {
        aEngine.stored.erase(aEngine.stored.begin());
      }
      aEngine.stored.insert_or_assign(aEvent.piece, aNow);
      const auto sent = aEngine.sent.find(aEvent.piece);
      if (sent != aEngine.sent.end()) {
        UpdateAverage(aEngine.eventDelay, ToSeconds(aNow - sent->second));
        aEngine.sent.erase(sent);
      }
      return;
    }
    case CacheEventKind::Evicted: {
      const auto piece = aEngine.stored.find(aEvent.piece);
      if (piece != aEngine.stored.end()) {
        UpdateAverage(aEngine.evictionAge, ToSeconds(aNow - piece->second));
        aEngine.stored.erase(piece);
      }
      return;
    }
    case CacheEventKind::Cleared:
      aEngine.stored.clear();
      aEngine.sent.clear();
      return;
  }
}

void
EngineCacheTracker::Apply(const UpstreamId& aEngine,
                          const CacheEventBatch& aBatch,
                          TimePoint aNow)
{
  Engine& engine = this->engines[aEngine];
  if (aBatch.incarnation < engine.incarnation) {
    return;
  }
  if (aBatch.incarnation > engine.incarnation) {
    engine = Engine{};
    engine.incarnation = aBatch.incarnation;
  }
  for (const CacheEvent& event : aBatch.events) {
    if (event.sequence <= engine.lastSequence) {
      continue;
    }
    // After a Cleared event the cache is known to be empty.
    if (event.kind == CacheEventKind::Cleared) {
      engine.uncertain = false;
    } else if (event.sequence != engine.lastSequence + 1) {
      engine.uncertain = true;
    }
    engine.lastSequence = event.sequence;
    this->ApplyOne(engine, event, aNow);
  }
}

bool
EngineCacheTracker::NeedsResync(const UpstreamId& aEngine) const
{
  const auto engine = this->engines.find(aEngine);
  return engine != this->engines.end() && engine->second.uncertain;
}

void
EngineCacheTracker::Resync(const UpstreamId& aEngine,
                           const CacheEventBatch& aList,
                           std::uint64_t aSequence,
                           TimePoint aNow)
{
  Engine& engine = this->engines[aEngine];
  const bool older = aList.incarnation < engine.incarnation ||
                     (aList.incarnation == engine.incarnation &&
                      aSequence < engine.lastSequence);
  if (older) {
    return;
  }
  engine.incarnation = aList.incarnation;
  engine.lastSequence = aSequence;
  engine.uncertain = false;
  engine.stored.clear();
  for (const CacheEvent& event : aList.events) {
    this->ApplyOne(engine, event, aNow);
  }
}

void
EngineCacheTracker::NoteSent(const UpstreamId& aEngine,
                             std::span<const PieceKey> aChain,
                             TimePoint aNow)
{
  Engine& engine = this->engines[aEngine];
  if (engine.sent.size() + aChain.size() > this->maxPieces) {
    std::erase_if(engine.sent, [aNow](const auto& aRow) {
      return aRow.second + kSentLifetime <= aNow;
    });
  }
  for (const PieceKey& key : aChain) {
    const auto stored = engine.stored.find(key);
    if (stored != engine.stored.end()) {
      stored->second = aNow;
    } else if (engine.sent.size() < this->maxPieces) {
      engine.sent[key] = aNow;
    }
  }
}

void
EngineCacheTracker::NoteMissed(const UpstreamId& aEngine,
                               std::span<const PieceKey> aChain)
{
  const auto engine = this->engines.find(aEngine);
  if (engine == this->engines.end()) {
    return;
  }
  for (const PieceKey& key : aChain) {
    engine->second.stored.erase(key);
    engine->second.sent.erase(key);
  }
}

void
EngineCacheTracker::Forget(const UpstreamId& aEngine)
{
  this->engines.erase(aEngine);
}

CachedPrefix
EngineCacheTracker::LongestPrefix(const UpstreamId& aEngine,
                                  std::span<const PieceKey> aChain,
                                  TimePoint aNow) const
{
  CachedPrefix prefix;
  const auto found = this->engines.find(aEngine);
  if (found == this->engines.end()) {
    return prefix;
  }
  const Engine& engine = found->second;
  double weight = 1;
  for (const PieceKey& key : aChain) {
    const auto stored = engine.stored.find(key);
    if (stored != engine.stored.end()) {
      weight = std::min(weight, engine.Weight(stored->second, aNow));
    } else {
      const auto sent = engine.sent.find(key);
      if (sent == engine.sent.end() || aNow >= sent->second + kSentLifetime) {
        break;
      }
      weight = std::min(weight, kSentWeight);
    }
    ++prefix.pieces;
    prefix.weight = weight;
  }
  return prefix;
}

} // namespace wigeonwalk
