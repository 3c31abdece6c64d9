// One daemon's view of one shard's log in the key-value service.
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

// What a reading of the tail showed.
enum class CatchUpResult
{
  // The service did not answer, or its answer could not be used.
  Failed,
  // The tail is as it was; a write in doubt may still land.
  Unchanged,
  // The log went on; a write in doubt either is in it or can never land.
  Moved,
};

// Where a created segment lies.
enum class FloorCheck
{
  // The service did not answer.
  Unknown,
  AtOrAboveFloor,
  // It was trimmed before; its claims count for nobody.
  BelowFloor,
};

// Last segment of the log, to which the next batch is appended.
struct ClaimTail
{
  std::uint64_t index = 0;
  // Revision that the next append expects; zero for a key that must not exist.
  std::int64_t revision = 0;
  ClaimSegment content;
};

// Follows a log: its tail, floor and the table of its claims. The order of the
// reads carries the safety of the log. The floor is read after each segment
// that was not known before, because a writer that was paused can create a
// segment below the floor again after it was deleted; a segment at or above a
// floor that was read later is genuine. One thread, one call at a time.
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

  // Reads the whole log. Returns false where the service did not answer, the
  // segments do not fit together or one is damaged.
  Task<bool> Load();

  // Reads what was appended since. After Moved with Loaded() false the log must
  // be loaded again.
  Task<CatchUpResult> CatchUp();

  // Reads the floor after the tail's key was created.
  Task<FloorCheck> CheckTail();

  // Takes over an append of this daemon that took effect.
  void Appended(ClaimSegment aContent, std::int64_t aRevision);

  // Makes one write that trims, if one is due. Returns true where it wrote.
  Task<bool> TrimStep();

  // Forgets the view; Load is needed before the next use.
  void Unload() { this->loaded = false; }

  bool Loaded() const { return this->loaded; }
  // True where the batch was read by the last Load, CatchUp or Appended.
  bool HasBatch(std::uint64_t aId) const { return this->seen.contains(aId); }
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
  // When the service last answered.
  TimePoint AnsweredAt() const { return this->answeredAt; }
  void MarkAnswered() { this->answeredAt = this->timer.Now(); }
  const LastReason& Reason() const { return this->reason; }

private:
  // A sealed segment at or above the floor.
  struct Sealed
  {
    std::uint64_t index = 0;
    TimePoint newestKey;
  };
  struct Listed
  {
    std::uint64_t index = 0;
    std::int64_t revision = 0;
    ClaimSegment content;
  };

  Task<bool> ReadFloor();
  std::optional<std::vector<Listed>> Order(
    const std::vector<KeyValueEntry>& aEntries);
  static bool FitTogether(const std::vector<Listed>& aSegments,
                          std::uint64_t aFloor);
  void Replay(const ClaimSegment& aContent, std::size_t aFromBatch);
  bool Extends(const ClaimSegment& aContent) const;
  void GoOn();
  std::uint32_t ExpiredSegments() const;
  Task<bool> MoveFloor(std::uint64_t aFloor);
  Task<bool> DeleteOne();

  Kv& service;
  Time& timer;
  const ClaimLogSettings& settings;
  std::uint32_t shard;
  bool loaded = false;
  ClaimTail tail;
  ClaimTable table;
  std::unordered_set<std::uint64_t> seen;
  std::deque<Sealed> sealed;
  std::deque<std::uint64_t> belowFloor;
  std::uint64_t floor = 0;
  std::int64_t floorRevision = 0;
  TimePoint nextTrimAt;
  TimePoint answeredAt;
  LastReason reason;
};

} // namespace wigeonwalk

#include "wigeonwalk/claims/internal/claim_log_view_impl.h"
