// What is taken over of a holder's parts, from the holder or from a daemon that
// follows it.
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"

namespace wigeonwalk {

// Takes over changes of the parts of a holder that this daemon knows. Returns
// true where the holder has restarted since: nothing of before counts any more.
bool
TakeHeldParts(EntryState& aState, const HeldParts& aParts, TimePoint aNow);

} // namespace wigeonwalk
