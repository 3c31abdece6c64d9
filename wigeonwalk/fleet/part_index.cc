#include "wigeonwalk/fleet/part_index.h"

#include <algorithm>

namespace wigeonwalk {

PartKey
KeyOfPart(std::string_view aSalt, std::string_view aPart)
{
  return HashBytes(aPart, HashBytes(aSalt, 0).low);
}

void
PartIndex::Set(const UpstreamId& aHolder,
               const PartKey& aPart,
               std::uint32_t aTokens)
{
  auto& holders = this->holdings[aPart];
  const auto found = std::find_if(
    holders.begin(), holders.end(), [&](const PartHolding& aEntry) {
      return aEntry.holder == aHolder;
    });
  std::uint64_t& total = this->totals[aHolder];
  if (found != holders.end()) {
    total -= found->tokens;
    found->tokens = aTokens;
    if (aTokens == 0) {
      holders.erase(found);
    }
  } else if (aTokens > 0) {
    holders.push_back({ aHolder, aTokens });
  }
  total += aTokens;
  if (holders.empty()) {
    this->holdings.erase(aPart);
  }
}

void
PartIndex::Forget(const UpstreamId& aHolder)
{
  this->totals.erase(aHolder);
  for (auto it = this->holdings.begin(); it != this->holdings.end();) {
    std::erase_if(it->second, [&](const PartHolding& aEntry) {
      return aEntry.holder == aHolder;
    });
    it = it->second.empty() ? this->holdings.erase(it) : std::next(it);
  }
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
  const auto found = this->totals.find(aHolder);
  return found == this->totals.end() ? 0 : found->second;
}

} // namespace wigeonwalk
