#include "wigeonwalk/entry/held_parts.h"

namespace wigeonwalk {

bool
ApplyHeldParts(EntryState& aState, const HeldParts& aParts, TimePoint aNow)
{
  const auto found = aState.holders.find(aParts.holder);
  if (found == aState.holders.end()) {
    return false;
  }
  FollowedHolder& followed = found->second;
  const bool restarted = followed.epoch != 0 && followed.epoch != aParts.epoch;
  if (followed.epoch != aParts.epoch) {
    aState.parts.Forget(aParts.holder);
    followed.epoch = aParts.epoch;
  }
  for (const HeldPart& change : aParts.changes) {
    aState.parts.Set(aParts.holder, change.part, change.tokens);
  }
  // The capacity is zero if the configuration omits it.
  if (followed.holder.capacityTokens > 0) {
    aState.parts.Trim(aParts.holder, followed.holder.capacityTokens);
  }
  followed.answeredAt = aNow;
  return restarted;
}

} // namespace wigeonwalk
