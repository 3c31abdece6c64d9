// What a shard's log says of each key: the log replayed into memory.
//
//   ClaimTable table;
//   table.Apply(batch);
//   if (const ClaimRecord* record = table.Find(key)) { ... }
#pragma once

#include "wigeonwalk/claims/claim.h"

#include <cstddef>
#include <unordered_map>

namespace wigeonwalk {

// State of a claim.
enum class ClaimState
{
  // Made; how the call ended is not recorded.
  Claimed,
  // A release is queued at this daemon but not yet durable.
  Releasing,
  // Proven not to have run; the key may be claimed again.
  Released,
  Finished,
};

template<>
struct EnumNames<ClaimState>
{
  static constexpr std::array<EnumName<ClaimState>, 4> kTable{ {
    { ClaimState::Claimed, "claimed" },
    { ClaimState::Releasing, "releasing" },
    { ClaimState::Released, "released" },
    { ClaimState::Finished, "finished" },
  } };
};
static_assert(HasCompleteTable<ClaimState>());

// The latest claim of one key.
struct ClaimRecord
{
  ClaimState state = ClaimState::Claimed;
  ClaimRef claim;
  BodyFingerprint body = 0;
  TimePoint createdAt;
  Verdict verdict = Verdict::MayHaveRun;
  std::uint16_t status = 0;
};

// Claims of one shard by key. One thread only.
class ClaimTable
{
public:
  // Replays a batch in order. A claim of a key that is already claimed changes
  // nothing: the first one in the log holds the key. Releases and outcomes of
  // claims that are not the key's latest are ignored.
  void Apply(const ClaimBatch& aBatch);

  const ClaimRecord* Find(const ClaimKey& aKey) const;

  // Returns the key of a claim, or nullptr for one that is not known.
  const ClaimKey* KeyOf(const ClaimRef& aClaim) const;

  // Marks a claim whose release is queued here.
  void MarkReleasing(const ClaimRef& aClaim);

  // Forgets claims that every daemon refuses as too old.
  void Forget(TimePoint aNow, Duration aWindow);

  void Clear();
  std::size_t Size() const { return this->records.size(); }

private:
  struct Applier;

  ClaimRecord* FindClaim(const ClaimRef& aClaim);

  std::unordered_map<ClaimKey, ClaimRecord> records;
  std::unordered_map<ClaimRef, ClaimKey> keys;
};

} // namespace wigeonwalk
