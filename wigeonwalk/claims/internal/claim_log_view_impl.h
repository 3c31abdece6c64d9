// Definitions of ClaimLogView's members.
#pragma once

#include "wigeonwalk/claims/claim_log_view.h"

namespace wigeonwalk {

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimLogView<Kv, Time, Codec>::Load()
{
  this->loaded = false;
  const auto entries = co_await this->service.List(
    SegmentPrefix(this->shard), this->CallDeadline(), this->reason);
  if (!entries) {
    co_return false;
  }
  this->MarkAnswered();
  if (!co_await this->ReadFloor()) {
    co_return false;
  }
  const auto segments = this->DecodeSegments(*entries);
  if (!segments) {
    co_return false;
  }
  if (!AreContiguous(*segments, this->floor)) {
    Fail(this->reason, ReasonCode::Stale, "claim log changed during the read");
    co_return false;
  }
  this->table.Clear();
  this->newBatchIds.clear();
  this->sealed.clear();
  this->tail = { this->floor, 0, {} };
  for (const ListedSegment& segment : *segments) {
    this->tail = { segment.index, segment.revision, segment.content };
    this->Replay(segment.content, 0);
    this->AdvanceTail();
  }
  this->loaded = true;
  co_return true;
}

// Decodes the segments at or above the floor, sorted by index, and records
// those below it for deletion.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
auto
ClaimLogView<Kv, Time, Codec>::DecodeSegments(
  const std::vector<KeyValueEntry>& aEntries)
  -> std::optional<std::vector<ListedSegment>>
{
  std::vector<ListedSegment> segments;
  this->belowFloor.clear();
  for (const KeyValueEntry& entry : aEntries) {
    const auto index = IndexOfSegmentKey(entry.key);
    if (!index) {
      return Fail(
        this->reason, ReasonCode::Corrupt, "not a segment key", entry.key);
    }
    if (*index < this->floor) {
      this->belowFloor.push_back(*index);
      continue;
    }
    auto content = Codec::Decode(entry.value, this->reason);
    if (!content) {
      this->reason.place = entry.key;
      return std::nullopt;
    }
    segments.push_back({ *index, entry.modRevision, std::move(*content) });
  }
  std::sort(segments.begin(),
            segments.end(),
            [](const ListedSegment& aLeft, const ListedSegment& aRight) {
              return aLeft.index < aRight.index;
            });
  return segments;
}

// Returns false if the log changed during the reads: there is a gap, or an open
// segment before the last one.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
bool
ClaimLogView<Kv, Time, Codec>::AreContiguous(
  const std::vector<ListedSegment>& aSegments,
  std::uint64_t aFloor)
{
  std::uint64_t expected = aFloor;
  for (const ListedSegment& segment : aSegments) {
    const bool last = &segment == &aSegments.back();
    if (segment.index != expected++ || (!last && !segment.content.sealed)) {
      return false;
    }
  }
  return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<CatchUpResult>
ClaimLogView<Kv, Time, Codec>::CatchUp()
{
  const std::uint64_t start = this->tail.index;
  bool advanced = false;
  this->newBatchIds.clear();
  while (true) {
    const auto read = co_await this->service.Get(
      this->TailKey(), this->CallDeadline(), this->reason);
    if (!read) {
      // The segments read so far have not been checked against the floor.
      this->loaded = this->loaded && !advanced;
      co_return CatchUpResult::Failed;
    }
    this->MarkAnswered();
    const std::int64_t revision = read->entry ? read->entry->modRevision : 0;
    if (revision == this->tail.revision) {
      break;
    }
    advanced = true;
    if (!read->entry) {
      this->loaded = false;
      co_return CatchUpResult::Advanced;
    }
    auto content = Codec::Decode(read->entry->value, this->reason);
    if (!content || !this->ExtendsTail(*content)) {
      this->loaded = false;
      co_return CatchUpResult::Advanced;
    }
    const std::size_t known = this->tail.content.batches.size();
    this->tail.content = std::move(*content);
    this->tail.revision = revision;
    this->Replay(this->tail.content, known);
    if (!this->tail.content.sealed) {
      break;
    }
    this->AdvanceTail();
  }
  if (!advanced) {
    co_return CatchUpResult::Unchanged;
  }
  const bool hasFloor = co_await this->ReadFloor();
  this->loaded = hasFloor && this->floor <= start;
  co_return CatchUpResult::Advanced;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<FloorCheck>
ClaimLogView<Kv, Time, Codec>::CheckTail()
{
  const bool hasFloor = co_await this->ReadFloor();
  if (!hasFloor) {
    co_return FloorCheck::Unknown;
  }
  co_return this->tail.index >= this->floor ? FloorCheck::AtOrAboveFloor
                                            : FloorCheck::BelowFloor;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimLogView<Kv, Time, Codec>::ApplyAppend(ClaimSegment aContent,
                                           std::int64_t aRevision)
{
  const std::size_t known = this->tail.content.batches.size();
  this->tail.content = std::move(aContent);
  this->tail.revision = aRevision;
  this->newBatchIds.clear();
  this->Replay(this->tail.content, known);
  this->AdvanceTail();
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimLogView<Kv, Time, Codec>::TrimStep()
{
  const TimePoint now = this->timer.Now();
  if (!this->loaded || now < this->nextTrimAt) {
    co_return false;
  }
  this->nextTrimAt = now + this->settings.trimInterval;
  this->table.Forget(now, this->settings.window);
  if (!this->belowFloor.empty()) {
    co_return co_await this->DeleteOneSegment();
  }
  const std::uint32_t expired = this->ExpiredSegments();
  if (expired < this->settings.floorStep) {
    co_return false;
  }
  co_return co_await this->MoveFloor(this->sealed[expired - 1].index + 1);
}

// Moves the floor. This must happen before any segment below it is deleted.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimLogView<Kv, Time, Codec>::MoveFloor(std::uint64_t aFloor)
{
  const PutRequest put{
    FloorKey(this->shard), std::to_string(aFloor), this->floorRevision, 0
  };
  const WriteResult result =
    co_await this->service.Put(put, this->CallDeadline(), this->reason);
  if (result.outcome != WriteOutcome::Applied) {
    // Another writer also trims, or the answer was lost: reload the log.
    this->loaded = this->loaded && result.outcome == WriteOutcome::NotSent;
    co_return true;
  }
  this->MarkAnswered();
  this->floor = aFloor;
  this->floorRevision = result.revision;
  while (!this->sealed.empty() && this->sealed.front().index < aFloor) {
    this->belowFloor.push_back(this->sealed.front().index);
    this->sealed.pop_front();
  }
  co_return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimLogView<Kv, Time, Codec>::DeleteOneSegment()
{
  const WriteResult result = co_await this->service.Delete(
    SegmentKey(this->shard, this->belowFloor.front()),
    std::nullopt,
    this->CallDeadline(),
    this->reason);
  // A deletion that was not sent or is in doubt is retried; deletions are
  // idempotent.
  const bool answered = result.outcome == WriteOutcome::Applied ||
                        result.outcome == WriteOutcome::Conflict;
  if (answered && !this->belowFloor.empty()) {
    this->MarkAnswered();
    this->belowFloor.pop_front();
  }
  co_return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimLogView<Kv, Time, Codec>::ReadFloor()
{
  const auto read = co_await this->service.Get(
    FloorKey(this->shard), this->CallDeadline(), this->reason);
  if (!read) {
    co_return false;
  }
  this->MarkAnswered();
  if (!read->entry) {
    this->floor = 0;
    this->floorRevision = 0;
    co_return true;
  }
  const auto value = ParseIndex(read->entry->value);
  if (!value) {
    Fail(this->reason,
         ReasonCode::Corrupt,
         "claim log floor is not a number",
         read->entry->key);
    co_return false;
  }
  this->floor = *value;
  this->floorRevision = read->entry->modRevision;
  // Another writer moved the floor and deletes these segments. If they were
  // still counted as expired, the floor would be moved back.
  while (!this->sealed.empty() && this->sealed.front().index < this->floor) {
    this->sealed.pop_front();
  }
  co_return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimLogView<Kv, Time, Codec>::Replay(const ClaimSegment& aContent,
                                      std::size_t aFromBatch)
{
  for (std::size_t i = aFromBatch; i < aContent.batches.size(); ++i) {
    this->table.Apply(aContent.batches[i]);
    this->newBatchIds.insert(aContent.batches[i].id);
  }
}

// Returns true if the content starts with the known batches of the tail.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
bool
ClaimLogView<Kv, Time, Codec>::ExtendsTail(const ClaimSegment& aContent) const
{
  const std::vector<ClaimBatch>& known = this->tail.content.batches;
  return aContent.batches.size() >= known.size() &&
         std::equal(known.begin(), known.end(), aContent.batches.begin());
}

// If the tail is sealed, makes the next segment the tail.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimLogView<Kv, Time, Codec>::AdvanceTail()
{
  if (!this->tail.content.sealed) {
    return;
  }
  TimePoint newest;
  for (const ClaimBatch& batch : this->tail.content.batches) {
    for (const ClaimEntry& entry : batch.entries) {
      if (const auto* made = std::get_if<ClaimMade>(&entry)) {
        newest = std::max(newest, made->createdAt);
      }
    }
  }
  this->sealed.push_back({ this->tail.index, newest });
  this->tail = { this->tail.index + 1, 0, {} };
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
std::uint32_t
ClaimLogView<Kv, Time, Codec>::ExpiredSegments() const
{
  std::uint32_t expired = 0;
  while (expired < this->sealed.size() &&
         MayForget(this->sealed[expired].newestKey,
                   this->timer.Now(),
                   this->settings.window)) {
    ++expired;
  }
  return expired;
}

} // namespace wigeonwalk
