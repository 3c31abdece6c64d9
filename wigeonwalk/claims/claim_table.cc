#include "wigeonwalk/claims/claim_table.h"

namespace wigeonwalk {

struct ClaimTable::EntryVisitor
{
  ClaimTable& table;
  ClaimRef ref;

  void operator()(const ClaimMade& aEntry) const
  {
    ClaimRecord& record = this->table.records[aEntry.key];
    const bool isNew = record.claim == ClaimRef{};
    const bool isFree = isNew || record.state == ClaimState::Released;
    if (!isFree) {
      return;
    }
    this->table.keys.erase(record.claim);
    record = { ClaimState::Claimed, this->ref, aEntry.body, aEntry.createdAt };
    this->table.keys[this->ref] = aEntry.key;
  }

  void operator()(const ClaimReleased& aEntry) const
  {
    ClaimRecord* record = this->table.FindClaim(aEntry.claim);
    if (record && record->state != ClaimState::Finished) {
      record->state = ClaimState::Released;
      record->verdict = Verdict::NotRun;
    }
  }

  void operator()(const ClaimFinished& aEntry) const
  {
    ClaimRecord* record = this->table.FindClaim(aEntry.claim);
    if (record && record->state == ClaimState::Claimed) {
      record->state = ClaimState::Finished;
      record->verdict = aEntry.verdict;
      record->status = aEntry.status;
    }
  }
};

void
ClaimTable::Apply(const ClaimBatch& aBatch)
{
  ClaimRef ref{ aBatch.id, 0 };
  for (const ClaimEntry& entry : aBatch.entries) {
    std::visit(EntryVisitor{ *this, ref }, entry);
    ++ref.position;
  }
}

const ClaimRecord*
ClaimTable::Find(const ClaimKey& aKey) const
{
  const auto found = this->records.find(aKey);
  return found == this->records.end() ? nullptr : &found->second;
}

const ClaimKey*
ClaimTable::KeyOf(const ClaimRef& aClaim) const
{
  const auto found = this->keys.find(aClaim);
  return found == this->keys.end() ? nullptr : &found->second;
}

void
ClaimTable::MarkReleasing(const ClaimRef& aClaim)
{
  ClaimRecord* record = this->FindClaim(aClaim);
  if (record && record->state == ClaimState::Claimed) {
    record->state = ClaimState::Releasing;
  }
}

void
ClaimTable::Forget(TimePoint aNow, Duration aWindow)
{
  std::erase_if(this->records, [&](const auto& aEntry) {
    return MayForget(aEntry.second.createdAt, aNow, aWindow);
  });
  std::erase_if(this->keys, [this](const auto& aEntry) {
    return !this->records.contains(aEntry.second);
  });
}

void
ClaimTable::Clear()
{
  this->records.clear();
  this->keys.clear();
}

ClaimRecord*
ClaimTable::FindClaim(const ClaimRef& aClaim)
{
  const ClaimKey* key = this->KeyOf(aClaim);
  return key ? &this->records.at(*key) : nullptr;
}

} // namespace wigeonwalk
