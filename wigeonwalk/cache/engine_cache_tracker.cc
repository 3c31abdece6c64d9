#include "wigeonwalk/cache/engine_cache_tracker.h"

#include <algorithm>

namespace wigeonwalk {

EngineCacheTracker::EngineCacheTracker(std::size_t aMaxPieces)
  : maxPieces(std::max<std::size_t>(aMaxPieces, 1))
{
}

void
EngineCacheTracker::ApplyOne(Engine& aEngine, const CacheEvent& aEvent)
{
  switch (aEvent.kind) {
    case CacheEventKind::Stored:
      // An engine that reports more than the bound loses an arbitrary piece;
      // the cost is one recomputation.
      if (aEngine.stored.size() >= this->maxPieces) {
        aEngine.stored.erase(aEngine.stored.begin());
      }
      aEngine.stored.insert(aEvent.piece);
      aEngine.sent.erase(aEvent.piece);
      return;
    case CacheEventKind::Evicted:
      aEngine.stored.erase(aEvent.piece);
      return;
    case CacheEventKind::Cleared:
      aEngine.stored.clear();
      aEngine.sent.clear();
      return;
  }
}

void
EngineCacheTracker::Apply(const UpstreamId& aEngine,
                          const CacheEventBatch& aBatch)
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
    // A Cleared event leaves nothing to be uncertain about.
    if (event.kind == CacheEventKind::Cleared) {
      engine.uncertain = false;
    } else if (event.sequence != engine.lastSequence + 1) {
      engine.uncertain = true;
    }
    engine.lastSequence = event.sequence;
    this->ApplyOne(engine, event);
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
                           std::uint64_t aSequence)
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
    this->ApplyOne(engine, event);
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
    if (engine.sent.size() < this->maxPieces && !engine.stored.contains(key)) {
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
    if (engine.stored.contains(key)) {
      weight = std::min(weight, engine.uncertain ? kUncertainWeight : 1.0);
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
