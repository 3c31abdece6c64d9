#include "wigeonwalk/cache/engine_cache_tracker.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const UpstreamId kEngine("runner-3");
const TimePoint kNow{ 1h };
const PieceKey kFirst{ 1, 0 };
const PieceKey kSecond{ 1, 1 };
const std::vector<PieceKey> kChain{ kFirst, kSecond };

CacheEvent
Stored(std::uint64_t aSequence, const PieceKey& aPiece)
{
  return { aSequence, CacheEventKind::Stored, aPiece };
}

} // namespace

SCENARIO("cache events arrive late and with gaps", "[tracker]")
{
  EngineCacheTracker tracker(100);
  tracker.Apply(
    kEngine, { 1, { Stored(1, kFirst), Stored(2, kSecond) } }, kNow);
  REQUIRE(tracker.LongestPrefix(kEngine, kChain, kNow).pieces == 2);

  struct Case
  {
    const char* name;
    CacheEventBatch batch;
    std::size_t pieces;
    double weight;
    bool needsResync;
  };
  const PieceKey other{ 9, 9 };
  const Case cases[] = {
    { "a repeated batch changes nothing",
      { 1, { { 2, CacheEventKind::Evicted, kSecond } } },
      2,
      1,
      false },
    { "an eviction shortens the prefix",
      { 1, { { 3, CacheEventKind::Evicted, kSecond } } },
      1,
      1,
      false },
    { "a gap reduces the confidence in all pieces",
      { 1, { Stored(5, other) } },
      2,
      kUncertainWeight,
      true },
    { "a clear after a gap restores full confidence",
      { 1, { { 9, CacheEventKind::Cleared, {} }, Stored(10, kFirst) } },
      1,
      1,
      false },
    { "a restarted engine starts empty", { 2, {} }, 0, 0, false },
    { "a batch of an older incarnation is ignored",
      { 0, { { 3, CacheEventKind::Cleared, {} } } },
      2,
      1,
      false },
  };
  for (const Case& row : cases) {
    INFO(row.name);
    EngineCacheTracker copy = tracker;
    copy.Apply(kEngine, row.batch, kNow);
    const CachedPrefix prefix = copy.LongestPrefix(kEngine, kChain, kNow);
    CHECK(prefix.pieces == row.pieces);
    CHECK(prefix.weight == row.weight);
    CHECK(copy.NeedsResync(kEngine) == row.needsResync);
  }

  WHEN("a gap is followed by a resync")
  {
    tracker.Apply(kEngine, { 1, { Stored(7, other) } }, kNow);
    // Guards against a list that was made before events already applied.
    tracker.Resync(kEngine, { 1, { Stored(1, other) } }, 6, kNow);
    CHECK(tracker.NeedsResync(kEngine));
    tracker.Resync(kEngine, { 1, { Stored(1, kFirst) } }, 8, kNow);
    THEN("the list replaces what was known and later events follow it")
    {
      CHECK_FALSE(tracker.NeedsResync(kEngine));
      CHECK(tracker.LongestPrefix(kEngine, kChain, kNow).pieces == 1);
      tracker.Apply(kEngine, { 1, { Stored(9, kSecond) } }, kNow);
      CHECK(tracker.LongestPrefix(kEngine, kChain, kNow).weight == 1);
    }
  }
}

// Guards against sending the second request with a prompt to another engine
// because the cache events of the first are late.
SCENARIO("a prompt that was just sent counts as cached", "[tracker]")
{
  EngineCacheTracker tracker(2);
  tracker.NoteSent(kEngine, kChain, kNow);
  const CachedPrefix sent = tracker.LongestPrefix(kEngine, kChain, kNow + 1s);
  CHECK(sent.pieces == 2);
  CHECK(sent.weight == kSentWeight);
  CHECK(tracker.LongestPrefix(kEngine, kChain, kNow + kSentLifetime).pieces ==
        0);
  WHEN("the engine turns out not to hold the second piece")
  {
    tracker.NoteMissed(kEngine, std::vector{ kSecond });
    CHECK(tracker.LongestPrefix(kEngine, kChain, kNow).pieces == 1);
  }
  WHEN("more prompts are sent than the bound")
  {
    tracker.NoteSent(kEngine, std::vector{ PieceKey{ 5, 5 } }, kNow + 1s);
    CHECK(tracker.LongestPrefix(kEngine, kChain, kNow).pieces == 2);
  }
}

// Guards against relying on pieces that the engine is about to evict, or has
// evicted although the event has not arrived yet.
SCENARIO("the confidence in a piece falls with its age", "[tracker]")
{
  EngineCacheTracker tracker(100);
  tracker.Apply(kEngine, { 1, { Stored(1, kSecond) } }, kNow);
  tracker.Apply(
    kEngine, { 1, { { 2, CacheEventKind::Evicted, kSecond } } }, kNow + 100s);
  tracker.Apply(kEngine, { 1, { Stored(3, kFirst) } }, kNow + 100s);
  const auto weight = [&](Duration aAge) {
    return tracker.LongestPrefix(kEngine, kChain, kNow + 100s + aAge).weight;
  };
  CHECK(weight(40s) == 1);
  CHECK(weight(75s) == Approx(0.75));
  CHECK(weight(200s) == kUncertainWeight);
  WHEN("it is used again")
  {
    tracker.NoteSent(kEngine, std::vector{ kFirst }, kNow + 160s);
    CHECK(weight(75s) == 1);
  }
}
