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
// part computes it. Callers choose how many parts their prompts list, so the
// number of holdings is bounded: beyond it the holder with the most of them
// loses its least recently used one. Not thread-safe.
class PartIndex
{
public:
  // Default of the bound, which takes about 32 MB.
  static constexpr std::size_t kDefaultMaxHoldings = 131'072;

  explicit PartIndex(std::size_t aMaxHoldings = kDefaultMaxHoldings)
    : maxHoldings(aMaxHoldings)
  {
  }

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

  // The number of pairs of a part and its holder.
  std::size_t Holdings() const { return this->holdingCount; }

  // The number of holdings that were removed because there were too many.
  std::uint64_t Evicted() const { return this->evicted; }

private:
  struct HolderRecord
  {
    std::uint64_t tokens = 0;
    std::map<std::uint64_t, PartKey> partsByUse;
  };

  // Removes one holding, and its part if no holder is left.
  void Remove(const UpstreamId& aHolder, const PartKey& aPart);
  void EvictOne();

  std::size_t maxHoldings;
  std::size_t holdingCount = 0;
  std::uint64_t evicted = 0;
  std::unordered_map<PartKey, std::vector<PartHolding>> holdings;
  std::unordered_map<UpstreamId, HolderRecord> records;
  std::uint64_t uses = 0;
};

} // namespace wigeonwalk
