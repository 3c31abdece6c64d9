// A daemon's local copy of one shard's log in the key-value service.
//
//   ClaimLogView<Kv, Time, ClaimTextCodec> view(kv, time, settings, 7);
//   if (co_await view.Load()) { ... view.Table().Find(key) ... }
#pragma once

#include "wigeonwalk/claims/claim_log_settings.h"
#include "wigeonwalk/claims/claim_segment.h"
#include "wigeonwalk/claims/claim_table.h"
#include "wigeonwalk/claims/segment_keys.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Result of reading the tail.
enum class CatchUpResult
{
  // The service did not answer, or its answer could not be used.
  Failed,
  // The tail is unchanged; an in-doubt write may still take effect.
  Unchanged,
  // The log has advanced; an in-doubt write is either part of it or can no
  // longer take effect.
  Advanced,
};

// Position of a newly created segment relative to the floor.
enum class FloorCheck
{
  // The service did not answer.
  Unknown,
  AtOrAboveFloor,
  // The index was trimmed already, so the claims in the segment are void.
  BelowFloor,
};

// The last segment of the log, to which the next batch is appended.
struct ClaimTail
{
  std::uint64_t index = 0;
  // Expected revision of the next append; zero if the key must not exist yet.
  std::int64_t revision = 0;
  ClaimSegment content;
};

// Tracks the tail and the floor of a log and the table of its claims. The floor
// is the index of the first segment that is still valid.
//
// The safety of the log depends on the order of reads: the floor is read after
// every segment that was not known before. A writer that was paused can create
// a segment below the floor again after it was deleted; only a segment at or
// above a floor that was read later is valid. Not thread-safe; only one call
// may be in progress at a time.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
class ClaimLogView
{
public:
  ClaimLogView(Kv& aService,
               Time& aTimer,
               const ClaimLogSettings& aSettings,
               std::uint32_t aShard)
    : service(aService)
    , timer(aTimer)
    , settings(aSettings)
    , shard(aShard)
  {
  }

  // Reads the whole log. Returns false if the service did not answer, the
  // segments are not contiguous or one of them is corrupt.
  Task<bool> Load();

  // Reads what was appended since the last read. If it returns Advanced and
  // Loaded() is false, the log must be loaded again.
  Task<CatchUpResult> CatchUp();

  // Reads the floor after this daemon created the tail's key, and compares the
  // two.
  Task<FloorCheck> CheckTail();

  // Applies an append by this daemon that took effect.
  void ApplyAppend(ClaimSegment aContent, std::int64_t aRevision);

  // Performs one trim write if one is due. Returns true if it sent one.
  Task<bool> TrimStep();

  // Invalidates the view; Load must be called before the next use.
  void Unload() { this->loaded = false; }

  bool Loaded() const { return this->loaded; }
  // Returns true if the batch was read by the last Load or CatchUp, or applied
  // by the last ApplyAppend.
  bool HasBatch(std::uint64_t aId) const
  {
    return this->newBatchIds.contains(aId);
  }
  const ClaimTail& Tail() const { return this->tail; }
  ClaimTable& Table() { return this->table; }
  std::string TailKey() const
  {
    return SegmentKey(this->shard, this->tail.index);
  }
  TimePoint CallDeadline() const
  {
    return this->timer.Now() + this->settings.callTimeout;
  }
  // Time of the service's last answer.
  TimePoint AnsweredAt() const { return this->answeredAt; }
  void MarkAnswered() { this->answeredAt = this->timer.Now(); }
  const FailureReason& Reason() const { return this->reason; }

private:
  // A sealed segment at or above the floor.
  struct SealedSegment
  {
    std::uint64_t index = 0;
    TimePoint newestKey;
  };
  struct ListedSegment
  {
    std::uint64_t index = 0;
    std::int64_t revision = 0;
    ClaimSegment content;
  };

  Task<bool> ReadFloor();
  std::optional<std::vector<ListedSegment>> DecodeSegments(
    const std::vector<KeyValueEntry>& aEntries);
  static bool AreContiguous(const std::vector<ListedSegment>& aSegments,
                            std::uint64_t aFloor);
  void Replay(const ClaimSegment& aContent, std::size_t aFromBatch);
  bool ExtendsTail(const ClaimSegment& aContent) const;
  void AdvanceTail();
  std::uint32_t ExpiredSegments() const;
  Task<bool> MoveFloor(std::uint64_t aFloor);
  Task<bool> DeleteOneSegment();

  Kv& service;
  Time& timer;
  const ClaimLogSettings& settings;
  std::uint32_t shard;
  bool loaded = false;
  ClaimTail tail;
  ClaimTable table;
  std::unordered_set<std::uint64_t> newBatchIds;
  std::deque<SealedSegment> sealed;
  std::deque<std::uint64_t> belowFloor;
  std::uint64_t floor = 0;
  std::int64_t floorRevision = 0;
  TimePoint nextTrimAt;
  TimePoint answeredAt;
  FailureReason reason;
};

} // namespace wigeonwalk

#include "wigeonwalk/claims/internal/claim_log_view_impl.h"
