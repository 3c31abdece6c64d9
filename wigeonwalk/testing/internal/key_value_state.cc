#include "wigeonwalk/testing/internal/key_value_state.h"

#include <algorithm>

namespace wigeonwalk::testing_internal {

KeyValueState::KeyValueState(VirtualTime& aTime)
  : time(aTime)
{
}

void
KeyValueState::RecordChange(bool aDeleted, const KeyValueEntry& aEntry)
{
  this->history.push_back({ aDeleted, aEntry });
  for (const Signal& signal : this->signals) {
    if (aEntry.key.starts_with(signal.prefix)) {
      signal.timer->cancel();
    }
  }
}

std::int64_t
KeyValueState::Write(const PutRequest& aPut)
{
  KeyValueEntry& entry = this->entries[aPut.key];
  ++this->revision;
  if (entry.createRevision == 0) {
    entry.key = aPut.key;
    entry.createRevision = this->revision;
  }
  entry.value = aPut.value;
  entry.modRevision = this->revision;
  entry.lease = aPut.lease;
  this->RecordChange(false, entry);
  return this->revision;
}

void
KeyValueState::Erase(const std::string& aKey)
{
  if (this->entries.erase(aKey) == 0) {
    return;
  }
  KeyValueEntry deleted;
  deleted.key = aKey;
  deleted.modRevision = ++this->revision;
  this->RecordChange(true, deleted);
}

void
KeyValueState::Lapse(LeaseId aLease)
{
  this->leases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : this->entries) {
    if (entry.lease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->Erase(key);
  }
}

void
KeyValueState::TakeCopy()
{
  this->copy = { this->entries, this->leases, this->revision, this->nextLease };
}

void
KeyValueState::RestoreCopy()
{
  const std::int64_t incarnation = IncarnationOf(this->revision) + 1;
  const auto renumber = [incarnation](std::int64_t aNumber) {
    return aNumber == 0 ? 0 : MakeRevision(incarnation, NumberOf(aNumber));
  };
  const auto renumberLease = [incarnation](LeaseId aLease) {
    return aLease == 0 ? 0 : MakeLease(incarnation, LeaseNumberOf(aLease));
  };
  this->entries = this->copy.entries;
  for (auto& [key, entry] : this->entries) {
    entry.createRevision = renumber(entry.createRevision);
    entry.modRevision = renumber(entry.modRevision);
    entry.lease = renumberLease(entry.lease);
  }
  this->leases.clear();
  for (const auto& [lease, granted] : this->copy.leases) {
    this->leases[renumberLease(lease)] = {
      granted.timeToLive, this->time.Now() + granted.timeToLive
    };
  }
  this->revision = MakeRevision(incarnation, NumberOf(this->copy.revision));
  this->nextLease = renumberLease(this->copy.nextLease);
  this->history.clear();
  for (const auto& [lease, granted] : this->leases) {
    this->time.Spawn(ExpireLease(this->shared_from_this(), lease));
  }
  for (const Signal& signal : this->signals) {
    signal.timer->cancel();
  }
}

WriteResult
KeyValueState::Compare(const std::string& aKey,
                       std::optional<std::int64_t> aExpected) const
{
  const auto found = this->entries.find(aKey);
  const bool exists = found != this->entries.end();
  WriteResult result;
  if (!aExpected || *aExpected == (exists ? found->second.modRevision : 0)) {
    return result;
  }
  result.outcome = WriteOutcome::Conflict;
  result.revision = this->revision;
  if (exists) {
    result.current = found->second;
  }
  return result;
}

std::vector<WatchEvent>
KeyValueState::EventsFrom(const std::string& aPrefix,
                          std::int64_t aRevision) const
{
  const auto first =
    std::lower_bound(this->history.begin(),
                     this->history.end(),
                     aRevision,
                     [](const WatchEvent& aEvent, std::int64_t aValue) {
                       return aEvent.entry.modRevision < aValue;
                     });
  std::vector<WatchEvent> events;
  std::copy_if(first,
               this->history.end(),
               std::back_inserter(events),
               [&](const WatchEvent& aEvent) {
                 return aEvent.entry.key.starts_with(aPrefix);
               });
  return events;
}

Task<void>
ExpireLease(std::shared_ptr<KeyValueState> aState, LeaseId aLease)
{
  while (true) {
    const auto found = aState->leases.find(aLease);
    if (found == aState->leases.end()) {
      co_return;
    }
    const TimePoint expiresAt = found->second.expiresAt;
    if (expiresAt <= aState->time.Now()) {
      aState->Lapse(aLease);
      co_return;
    }
    co_await aState->time.WaitUntil(expiresAt);
  }
}

Task<void>
LapseAt(std::shared_ptr<KeyValueState> aState,
        TimePoint aTime,
        std::string aPrefix)
{
  co_await aState->time.WaitUntil(aTime);
  std::vector<LeaseId> held;
  for (const auto& [key, entry] : aState->entries) {
    if (entry.lease != 0 && key.starts_with(aPrefix)) {
      held.push_back(entry.lease);
    }
  }
  for (const LeaseId lease : held) {
    aState->Lapse(lease);
  }
}

} // namespace wigeonwalk::testing_internal
