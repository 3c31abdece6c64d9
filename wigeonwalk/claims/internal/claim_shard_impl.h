// Definitions of ClaimShard's members.
#pragma once

#include "wigeonwalk/claims/claim_shard.h"

namespace wigeonwalk {

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<ClaimDecision>
ClaimShard<Kv, Time, Codec>::Claim(ClaimMade aClaim)
{
  // A stale view may show a claim that has been released since. Answering "may
  // have run" is then conservative but correct.
  if (this->view.Loaded()) {
    if (const auto known = this->DecideFromTable(aClaim)) {
      ++this->counts.duplicates;
      co_return *known;
    }
  }
  const auto item = std::make_shared<PendingEntry>(this->executor, aClaim);
  this->Enqueue(item);
  try {
    boost::asio::co_spawn(
      this->executor, this->WithdrawOnTimeout(item), boost::asio::detached);
    co_await item->WaitForDecision();
  } catch (...) {
    // The caller was cancelled and will not send the call.
    item->withdrawn = true;
    if (item->decision && item->decision->answer == ClaimAnswer::Granted) {
      this->Release(item->decision->claim);
    }
    throw;
  }
  if (!item->decision) {
    ++this->counts.unavailable;
    co_return MakeDecision(ClaimAnswer::Unavailable);
  }
  if (item->decision->answer == ClaimAnswer::Granted) {
    ++this->counts.granted;
  }
  co_return *item->decision;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::Release(const ClaimRef& aClaim)
{
  this->view.Table().MarkReleasing(aClaim);
  this->Enqueue(
    std::make_shared<PendingEntry>(this->executor, ClaimReleased{ aClaim }));
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::Finish(const ClaimFinished& aOutcome)
{
  this->Enqueue(std::make_shared<PendingEntry>(this->executor, aOutcome));
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::Enqueue(Item aItem)
{
  this->queue.push_back(std::move(aItem));
  if (!this->running) {
    this->running = true;
    boost::asio::co_spawn(this->executor, this->Run(), boost::asio::detached);
  }
}

// Withdraws a claim that is not decided in time. The claim keeps waiting while
// the service answers, but no longer than `maxWait`.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<void>
ClaimShard<Kv, Time, Codec>::WithdrawOnTimeout(Item aItem)
{
  const TimePoint start = this->timer.Now();
  const TimePoint latest = start + this->settings.maxWait;
  TimePoint at = start + this->settings.claimTimeout;
  while (!aItem->decision && at > this->timer.Now()) {
    co_await this->timer.WaitUntil(at);
    at =
      std::min(latest, this->view.AnsweredAt() + this->settings.claimTimeout);
  }
  aItem->Withdraw();
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<void>
ClaimShard<Kv, Time, Codec>::Run()
{
  this->RemoveResolved();
  while (!this->queue.empty() || !this->inDoubtWrites.empty()) {
    if (this->timer.Now() < this->nextAppendAt) {
      co_await this->timer.WaitUntil(this->nextAppendAt);
    }
    const bool ready = co_await this->RefreshView();
    if (ready) {
      co_await this->Append();
      co_await this->view.TrimStep();
    } else {
      co_await this->BackOff();
    }
    this->RemoveResolved();
  }
  this->running = false;
}

// Brings the view up to date. Returns false if the log could not be read.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimShard<Kv, Time, Codec>::RefreshView()
{
  if (this->view.Loaded() && this->mustCatchUp) {
    const CatchUpResult result = co_await this->view.CatchUp();
    if (result == CatchUpResult::Failed) {
      co_return false;
    }
    if (result == CatchUpResult::Advanced && this->view.Loaded()) {
      this->ResolveInDoubtWrites();
    }
  }
  if (!this->view.Loaded()) {
    ++this->counts.loads;
    const bool loaded = co_await this->view.Load();
    if (!loaded) {
      const bool corrupt = this->view.Reason().code == ReasonCode::Corrupt;
      this->counts.corruptLoads += corrupt ? 1 : 0;
      co_return false;
    }
    this->ResolveInDoubtWrites();
  }
  this->mustCatchUp = false;
  co_return true;
}

// Writes one batch. An empty batch is written only if there are in-doubt
// writes, which can no longer take effect once it is applied.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<void>
ClaimShard<Kv, Time, Codec>::Append()
{
  const ClaimTail& tail = this->view.Tail();
  AppendAttempt attempt{
    this->ids.Next(), tail.index, tail.revision, this->CollectBatch()
  };
  if (attempt.items.empty() && this->inDoubtWrites.empty()) {
    co_return;
  }
  std::vector<ClaimEntry> entries;
  for (const Item& item : attempt.items) {
    entries.push_back(item->entry);
  }
  ClaimSegment content = tail.content;
  const std::size_t taken = AppendBatch<Codec>(
    content, attempt.batch, entries, this->settings.maxSegmentBytes);
  attempt.items.resize(taken);
  this->nextAppendAt = this->timer.Now() + this->settings.appendInterval;
  const bool creates = tail.revision == 0;
  const PutRequest put{
    this->view.TailKey(), Codec::Encode(content), tail.revision, 0
  };
  FailureReason reason;
  const WriteResult result =
    co_await this->service.Put(put, this->view.CallDeadline(), reason);
  if (result.outcome == WriteOutcome::Applied) {
    this->view.MarkAnswered();
    bool isValid = !creates;
    if (creates) {
      isValid = co_await this->ValidateCreatedTail(result.revision);
    }
    if (isValid) {
      this->failures = 0;
      this->view.ApplyAppend(std::move(content), result.revision);
      this->inDoubtWrites.push_back(std::move(attempt));
      this->ResolveInDoubtWrites();
      co_return;
    }
    this->inDoubtWrites.push_back(std::move(attempt));
    this->mustCatchUp = true;
    co_return;
  }
  if (result.outcome == WriteOutcome::Conflict) {
    ++this->counts.conflicts;
    this->view.MarkAnswered();
  }
  if (result.outcome == WriteOutcome::Unknown) {
    ++this->counts.unknownWrites;
    this->inDoubtWrites.push_back(std::move(attempt));
  }
  this->mustCatchUp = true;
}

// Checks a segment that this daemon created. Returns false if it is below the
// floor, in which case its claims are void and it is deleted, or if the floor
// could not be read.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<bool>
ClaimShard<Kv, Time, Codec>::ValidateCreatedTail(std::int64_t aRevision)
{
  const FloorCheck check = co_await this->view.CheckTail();
  if (check == FloorCheck::BelowFloor) {
    ++this->counts.discarded;
    FailureReason reason;
    co_await this->service.Delete(
      this->view.TailKey(), aRevision, this->view.CallDeadline(), reason);
    this->view.Unload();
  }
  co_return check == FloorCheck::AtOrAboveFloor;
}

// Returns the queued entries for the next batch, and decides claims that need
// no entry. The age of a key is checked here, after the tail's revision was
// read: a claim that was trimmed before that read is too old for any clock
// within the margin, and a later change of the tail makes the write fail.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
auto
ClaimShard<Kv, Time, Codec>::CollectBatch() -> std::vector<Item>
{
  this->batchKeys.clear();
  this->batchReleases.clear();
  for (const Item& item : this->queue) {
    if (const auto* release = std::get_if<ClaimReleased>(&item->entry)) {
      this->view.Table().MarkReleasing(release->claim);
    }
  }
  std::vector<Item> items;
  for (const Item& item : this->queue) {
    if (this->IsReady(*item)) {
      items.push_back(item);
    }
  }
  return items;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
bool
ClaimShard<Kv, Time, Codec>::IsReady(PendingEntry& aItem)
{
  if (aItem.IsResolved()) {
    return false;
  }
  if (aItem.AsClaim()) {
    return this->IsClaimReady(aItem);
  }
  const auto* release = std::get_if<ClaimReleased>(&aItem.entry);
  const auto* finish = std::get_if<ClaimFinished>(&aItem.entry);
  const ClaimRef& claim = release ? release->claim : finish->claim;
  if (!this->view.Table().KeyOf(claim)) {
    // The claim was trimmed, so its release or outcome is no longer needed.
    aItem.appended = true;
    return false;
  }
  if (release) {
    this->batchReleases.insert(claim);
  }
  return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
bool
ClaimShard<Kv, Time, Codec>::IsClaimReady(PendingEntry& aItem)
{
  const ClaimMade& claim = *aItem.AsClaim();
  const KeyAge age =
    CheckKeyAge(claim.createdAt, this->timer.Now(), this->settings.window);
  if (age != KeyAge::Valid) {
    aItem.Decide(MakeDecision(age == KeyAge::TooOld ? ClaimAnswer::KeyTooOld
                                                    : ClaimAnswer::KeyTooNew));
    return false;
  }
  if (const auto known = this->DecideFromTable(claim)) {
    ++this->counts.duplicates;
    aItem.Decide(*known);
    return false;
  }
  const ClaimRecord* record = this->view.Table().Find(claim.key);
  const bool isReleasing = record && record->state == ClaimState::Releasing;
  if (isReleasing && !this->batchReleases.contains(record->claim)) {
    return false;
  }
  return this->batchKeys.insert(claim.key).second;
}

// Returns the decision on a key that another claim holds, or nullopt if the key
// is free.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
std::optional<ClaimDecision>
ClaimShard<Kv, Time, Codec>::DecideFromTable(const ClaimMade& aClaim)
{
  const ClaimRecord* record = this->view.Table().Find(aClaim.key);
  if (!record || record->state == ClaimState::Released ||
      record->state == ClaimState::Releasing) {
    return std::nullopt;
  }
  // With a later creation time, the key would still be valid after its claim
  // was forgotten.
  if (record->body != aClaim.body || record->createdAt != aClaim.createdAt) {
    return MakeDecision(ClaimAnswer::OtherBody, record->claim);
  }
  ClaimDecision decision = MakeDecision(ClaimAnswer::Duplicate, record->claim);
  if (record->state == ClaimState::Finished) {
    decision.verdict = record->verdict;
    decision.status = record->status;
  }
  return decision;
}

// Grants the claims of a batch that is in the log. A claim whose caller was
// told that the call did not run is released instead.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::OnAppended(const AppendAttempt& aAttempt)
{
  ClaimRef ref{ aAttempt.batch, 0 };
  for (const Item& item : aAttempt.items) {
    item->appended = true;
    if (item->AsClaim() && item->withdrawn) {
      ++this->counts.durableAfterWithdrawal;
      this->Release(ref);
    } else if (item->AsClaim()) {
      item->Decide(MakeDecision(ClaimAnswer::Granted, ref));
    }
    ++ref.position;
  }
}

// Resolves in-doubt writes after the tail or the log was read. A write that is
// in the log took effect. Any other stays in doubt while the tail is the one
// that it expects, and can no longer take effect otherwise.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::ResolveInDoubtWrites()
{
  const std::vector<AppendAttempt> attempts = std::move(this->inDoubtWrites);
  this->inDoubtWrites.clear();
  const ClaimTail& tail = this->view.Tail();
  for (const AppendAttempt& attempt : attempts) {
    if (this->view.HasBatch(attempt.batch)) {
      this->OnAppended(attempt);
    } else if (attempt.tailIndex == tail.index &&
               attempt.tailRevision == tail.revision) {
      this->inDoubtWrites.push_back(attempt);
    }
  }
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimShard<Kv, Time, Codec>::RemoveResolved()
{
  std::erase_if(this->queue,
                [](const Item& aItem) { return aItem->IsResolved(); });
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<void>
ClaimShard<Kv, Time, Codec>::BackOff()
{
  Duration delay = this->settings.initialRetryDelay;
  for (std::uint32_t i = 0; i < this->failures; ++i) {
    delay = std::min(delay * 2, this->settings.maxRetryDelay);
  }
  ++this->failures;
  co_await this->timer.WaitUntil(this->timer.Now() + delay);
}

} // namespace wigeonwalk
