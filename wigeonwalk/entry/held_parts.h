// Applies reported changes of a holder's parts to the daemon's state. The
// report comes from the holder itself or from a daemon that follows it.
//
//   const bool restarted = ApplyHeldParts(state, parts, now);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"

namespace wigeonwalk {

// Applies changes of a holder's parts; a report about an unknown holder is
// ignored. Returns true if the holder has restarted since the last report, in
// which case all parts reported before are dropped.
bool
ApplyHeldParts(EntryState& aState, const HeldParts& aParts, TimePoint aNow);

} // namespace wigeonwalk
