#include "wigeonwalk/fleet/part_index.h"

#include <algorithm>

namespace wigeonwalk {

PartKey
KeyOfPart(std::string_view aSalt, std::string_view aPart)
{
  return HashBytes(aPart, HashBytes(aSalt, 0).low);
}

void
PartIndex::Remove(const UpstreamId& aHolder, const PartKey& aPart)
{
  const auto entry = this->holdings.find(aPart);
  if (entry == this->holdings.end()) {
    return;
  }
  HolderRecord& record = this->records[aHolder];
  std::erase_if(entry->second, [&](const PartHolding& aHolding) {
    if (aHolding.holder != aHolder) {
      return false;
    }
    record.tokens -= aHolding.tokens;
    record.partsByUse.erase(aHolding.lastUse);
    --this->holdingCount;
    return true;
  });
  if (entry->second.empty()) {
    this->holdings.erase(entry);
  }
}

void
PartIndex::Set(const UpstreamId& aHolder,
               const PartKey& aPart,
               std::uint32_t aTokens)
{
  this->Remove(aHolder, aPart);
  if (aTokens == 0) {
    return;
  }
  if (this->holdingCount >= this->maxHoldings) {
    this->EvictOne();
  }
  const std::uint64_t use = ++this->uses;
  this->holdings[aPart].push_back({ aHolder, aTokens, use });
  HolderRecord& record = this->records[aHolder];
  record.tokens += aTokens;
  record.partsByUse.emplace(use, aPart);
  ++this->holdingCount;
}

void
PartIndex::EvictOne()
{
  const auto most = std::max_element(this->records.begin(),
                                     this->records.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.partsByUse.size() <
                                              aRight.second.partsByUse.size();
                                     });
  if (most == this->records.end() || most->second.partsByUse.empty()) {
    return;
  }
  const PartKey oldest = most->second.partsByUse.begin()->second;
  this->Remove(most->first, oldest);
  ++this->evicted;
}

void
PartIndex::Trim(const UpstreamId& aHolder, std::uint64_t aTokens)
{
  const auto found = this->records.find(aHolder);
  while (found != this->records.end() && found->second.tokens > aTokens) {
    const PartKey oldest = found->second.partsByUse.begin()->second;
    this->Remove(aHolder, oldest);
  }
}

void
PartIndex::Forget(const UpstreamId& aHolder)
{
  this->Trim(aHolder, 0);
  this->records.erase(aHolder);
}

std::uint32_t
PartIndex::TokensAt(const UpstreamId& aHolder, const PartKey& aPart) const
{
  for (const PartHolding& holding : this->HoldersOf(aPart)) {
    if (holding.holder == aHolder) {
      return holding.tokens;
    }
  }
  return 0;
}

const std::vector<PartHolding>&
PartIndex::HoldersOf(const PartKey& aPart) const
{
  static const std::vector<PartHolding> kNone;
  const auto found = this->holdings.find(aPart);
  return found == this->holdings.end() ? kNone : found->second;
}

std::uint64_t
PartIndex::TokensOf(const UpstreamId& aHolder) const
{
  const auto found = this->records.find(aHolder);
  return found == this->records.end() ? 0 : found->second.tokens;
}

} // namespace wigeonwalk
