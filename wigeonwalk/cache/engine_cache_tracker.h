// Tracks what a daemon believes the engines' own prefix caches to hold.
//
// Cache events arrive late and with gaps. After a gap, the confidence in all
// pieces of the engine is reduced until a resync. Prompts that this daemon has
// just sent count as cached before their events arrive. The confidence in a
// piece falls as the time since its last known use, plus the event delay,
// approaches the age at which this engine evicts pieces.
//
//   tracker.Apply(engine, batch, now);
//   if (tracker.NeedsResync(engine)) {
//     tracker.Resync(engine, list, sequence, now);
//   }
//   CachedPrefix prefix = tracker.LongestPrefix(engine, chain, now);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/model_engine.h"

#include <span>
#include <unordered_map>

namespace wigeonwalk {

// Confidence in the pieces of an engine whose events have a gap.
inline constexpr double kUncertainWeight = 0.5;

// Confidence in a piece that was sent to the engine but not yet reported by it.
inline constexpr double kSentWeight = 0.9;

// Fraction of the engine's usual time to eviction at which the confidence in a
// piece begins to fall.
inline constexpr double kFreshAgeFraction = 0.5;

// A piece that was sent but not reported within this time counts as evicted or
// never stored.
inline constexpr Duration kSentLifetime = std::chrono::seconds(60);

// Leading pieces of a prompt that an engine is believed to hold, and the lowest
// confidence among them (zero for no pieces).
struct CachedPrefix
{
  std::size_t pieces = 0;
  double weight = 0;
};

// Tracks all engines that a daemon uses. One thread only.
class EngineCacheTracker
{
public:
  // `aMaxPieces` bounds the reported and the sent pieces that are tracked for
  // one engine.
  explicit EngineCacheTracker(std::size_t aMaxPieces);

  // Applies events in order. Ignores events at or below the last sequence
  // number, which are repeats, and batches of an older incarnation. A newer
  // incarnation starts with an empty cache.
  void Apply(const UpstreamId& aEngine,
             const CacheEventBatch& aBatch,
             TimePoint aNow);

  // Returns true after a gap, until Resync.
  bool NeedsResync(const UpstreamId& aEngine) const;

  // Replaces the reported pieces with a full list, which has one Stored event
  // for each piece and reflects all events up to `aSequence`, the engine's
  // sequence number when it made the list. Ignores a list that is older than
  // the events already applied.
  void Resync(const UpstreamId& aEngine,
              const CacheEventBatch& aList,
              std::uint64_t aSequence,
              TimePoint aNow);

  // Records that a prompt was sent to an engine, which will hold its pieces.
  void NoteSent(const UpstreamId& aEngine,
                std::span<const PieceKey> aChain,
                TimePoint aNow);

  // Removes pieces that the engine was found not to hold.
  void NoteMissed(const UpstreamId& aEngine, std::span<const PieceKey> aChain);

  void Forget(const UpstreamId& aEngine);

  CachedPrefix LongestPrefix(const UpstreamId& aEngine,
                             std::span<const PieceKey> aChain,
                             TimePoint aNow) const;

private:
  struct Engine
  {
    std::uint64_t incarnation = 0;
    std::uint64_t lastSequence = 0;
    bool uncertain = false;
    // Reported pieces with their last known use.
    std::unordered_map<PieceKey, TimePoint> stored;
    std::unordered_map<PieceKey, TimePoint> sent;
    // Moving averages in seconds; zero while unknown.
    double evictionAge = 0;
    double eventDelay = 0;

    double Weight(TimePoint aLastUse, TimePoint aNow) const;
  };

  void ApplyOne(Engine& aEngine, const CacheEvent& aEvent, TimePoint aNow);

  std::size_t maxPieces;
  std::unordered_map<UpstreamId, Engine> engines;
};

} // namespace wigeonwalk
