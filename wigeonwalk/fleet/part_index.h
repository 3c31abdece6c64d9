// Index of the prompt parts that runners and stores hold.
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

// Hash of a cache salt and a part's id.
using PartKey = Hash128;

PartKey
KeyOfPart(std::string_view aSalt, std::string_view aPart);

// One holder of a part: a runner's id or a store's address.
struct PartHolding
{
  UpstreamId holder;
  // Leading tokens of the part that it holds.
  std::uint32_t tokens = 0;
  // Sequence number of the last report or use; unique within the index.
  std::uint64_t lastUse = 0;
};

// Contains the parts that holders reported, and those expected at a holder
// because they were sent to it. The index is only a hint: a runner that lacks a
// part computes it. Not thread-safe.
class PartIndex
{
public:
  // Sets how many leading tokens of a part a holder has. Zero removes the
  // entry.
  void Set(const UpstreamId& aHolder,
           const PartKey& aPart,
           std::uint32_t aTokens);

  // Removes a holder's least recently reported or used parts until the rest
  // fits into `aTokens`. Needed because some reports of evictions are lost.
  void Trim(const UpstreamId& aHolder, std::uint64_t aTokens);

  // Removes all parts of one holder.
  void Forget(const UpstreamId& aHolder);

  // Returns how many leading tokens of a part a holder has.
  std::uint32_t TokensAt(const UpstreamId& aHolder, const PartKey& aPart) const;

  const std::vector<PartHolding>& HoldersOf(const PartKey& aPart) const;

  // Returns the total number of tokens that a holder has.
  std::uint64_t TokensOf(const UpstreamId& aHolder) const;

  std::size_t Parts() const { return this->holdings.size(); }

private:
  struct HolderRecord
  {
    std::uint64_t tokens = 0;
    std::map<std::uint64_t, PartKey> partsByUse;
  };

  // Removes one holding, and its part if no holder is left.
  void Remove(const UpstreamId& aHolder, const PartKey& aPart);

  std::unordered_map<PartKey, std::vector<PartHolding>> holdings;
  std::unordered_map<UpstreamId, HolderRecord> records;
  std::uint64_t uses = 0;
};

} // namespace wigeonwalk
