// In-memory index of a shard's claims by key, built by replaying its log.
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
  // The key is claimed; the outcome of the call is not recorded yet.
  Claimed,
  // This daemon has queued a release that is not durable yet.
  Releasing,
  // The call was proven not to have run; the key may be claimed again.
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

// Claims of one shard by key. Not thread-safe.
class ClaimTable
{
public:
  // Replays a batch in order. A claim of a key that is already claimed has no
  // effect: the first claim in the log holds the key. Releases and outcomes of
  // claims other than the key's latest are ignored.
  void Apply(const ClaimBatch& aBatch);

  const ClaimRecord* Find(const ClaimKey& aKey) const;

  // Returns the key of a claim, or nullptr if the claim is unknown.
  const ClaimKey* KeyOf(const ClaimRef& aClaim) const;

  // Marks a claim as Releasing when its release is queued.
  void MarkReleasing(const ClaimRef& aClaim);

  // Removes claims whose keys every daemon refuses as too old.
  void Forget(TimePoint aNow, Duration aWindow);

  void Clear();
  std::size_t Size() const { return this->records.size(); }

private:
  struct EntryVisitor;

  ClaimRecord* FindClaim(const ClaimRef& aClaim);

  std::unordered_map<ClaimKey, ClaimRecord> records;
  std::unordered_map<ClaimRef, ClaimKey> keys;
};

} // namespace wigeonwalk
