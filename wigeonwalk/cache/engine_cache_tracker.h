// What one daemon believes an engine's own prefix cache holds.
//
// Cache events arrive late and with gaps. At a gap everything known of the
// engine counts for less until a resync. Prompts that this daemon has just sent
// count as cached before their events arrive. A piece counts for less as the
// time since its last known use, plus the delay of events, nears the time after
// which this engine evicts.
//
//   tracker.Apply(engine, batch, now);
//   if (tracker.NeedsResync(engine)) { tracker.Resync(engine, full); }
//   CachedPrefix prefix = tracker.LongestPrefix(engine, chain, now);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/model_engine.h"

#include <span>
#include <unordered_map>

namespace wigeonwalk {

// How much the pieces of an engine with a gap in its events count for.
inline constexpr double kUncertainWeight = 0.5;

// How much a piece counts for that was sent to the engine but not yet reported.
inline constexpr double kSentWeight = 0.9;

// A piece whose age is this part of the engine's usual time to eviction begins
// to count for less.
inline constexpr double kFreshPart = 0.5;

// A piece that was sent and not reported for this long was evicted or never
// stored.
inline constexpr Duration kSentLifetime = std::chrono::seconds(60);

// Leading pieces of a prompt that an engine is believed to hold, and the lowest
// confidence among them (zero for no pieces).
struct CachedPrefix
{
  std::size_t pieces = 0;
  double weight = 0;
};

// All engines that a daemon uses. One thread only.
class EngineCacheTracker
{
public:
  // `aMaxPieces` bounds what is remembered of one engine.
  explicit EngineCacheTracker(std::size_t aMaxPieces);

  // Applies events in order. Events at or below the last sequence are repeats.
  // A batch of an older incarnation is ignored; a newer one starts empty.
  void Apply(const UpstreamId& aEngine,
             const CacheEventBatch& aBatch,
             TimePoint aNow);

  // True after a gap, until Resync.
  bool NeedsResync(const UpstreamId& aEngine) const;

  // Replaces what is known by a full list: one Stored event for each piece,
  // all events up to the highest sequence among them included. `aSequence` is
  // the engine's sequence when it made the list.
  void Resync(const UpstreamId& aEngine,
              const CacheEventBatch& aList,
              std::uint64_t aSequence,
              TimePoint aNow);

  // Notes that a prompt was sent to an engine, which will hold its pieces.
  void NoteSent(const UpstreamId& aEngine,
                std::span<const PieceKey> aChain,
                TimePoint aNow);

  // The engine was found not to hold what was expected.
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
