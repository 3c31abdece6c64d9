// Which runners and stores hold which parts of prompts.
//
//   PartIndex index;
//   index.Set(runner.id, KeyOfPart(salt, part.id), part.tokens);
//   for (const PartHolding& holding : index.HoldersOf(key)) { ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Stands for one part of a prompt under one cache salt.
using PartKey = Hash128;

PartKey
KeyOfPart(std::string_view aSalt, std::string_view aPart);

// One holder of a part: a runner's id or a store's address.
struct PartHolding
{
  UpstreamId holder;
  // Leading tokens of the part that it holds.
  std::uint32_t tokens = 0;
  // Rises with each report or use.
  std::uint64_t lastUse = 0;
};

// What the holders reported, and what was sent to them and is expected there.
// Only a hint: a runner that lacks a part reads it. One thread only.
class PartIndex
{
public:
  // Zero tokens removes the holding.
  void Set(const UpstreamId& aHolder,
           const PartKey& aPart,
           std::uint32_t aTokens);

  // Removes the parts of a holder that were reported or used longest ago until
  // the rest fits into a number of tokens: some reports of evictions are lost.
  void Trim(const UpstreamId& aHolder, std::uint64_t aTokens);

  // Removes everything of one holder.
  void Forget(const UpstreamId& aHolder);

  // Returns the tokens of a part that a holder has.
  std::uint32_t TokensAt(const UpstreamId& aHolder, const PartKey& aPart) const;

  const std::vector<PartHolding>& HoldersOf(const PartKey& aPart) const;

  // Returns the tokens that a holder has in all.
  std::uint64_t TokensOf(const UpstreamId& aHolder) const;

  std::size_t Parts() const { return this->holdings.size(); }

private:
  struct HolderRecord
  {
    std::uint64_t tokens = 0;
    std::map<std::uint64_t, PartKey> partsByUse;
  };

  // Removes one holding, and its part where no holder is left.
  void Remove(const UpstreamId& aHolder, const PartKey& aPart);

  std::unordered_map<PartKey, std::vector<PartHolding>> holdings;
  std::unordered_map<UpstreamId, HolderRecord> records;
  std::uint64_t uses = 0;
};

} // namespace wigeonwalk
