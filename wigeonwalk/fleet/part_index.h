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

  // Removes everything of one holder.
  void Forget(const UpstreamId& aHolder);

  // Returns the tokens of a part that a holder has.
  std::uint32_t TokensAt(const UpstreamId& aHolder, const PartKey& aPart) const;

  const std::vector<PartHolding>& HoldersOf(const PartKey& aPart) const;

  // Returns the tokens that a holder has in all.
  std::uint64_t TokensOf(const UpstreamId& aHolder) const;

  std::size_t Parts() const { return this->holdings.size(); }

private:
  std::unordered_map<PartKey, std::vector<PartHolding>> holdings;
  std::unordered_map<UpstreamId, std::uint64_t> totals;
};

} // namespace wigeonwalk
