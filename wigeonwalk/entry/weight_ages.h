// Daemons tell each other how long ago weights were published: one that starts,
// or was cut off, finds only the newest version in the registry, and not when
// it was published.
//
//   changes.weights = AgesOfWeights(state, now);
//   for (const WeightsAge& learnt : LearnAges(state, changes.weights, now)) {
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"

#include <cstdint>
#include <vector>

namespace wigeonwalk {

// Returns the ages that decide which weights may be used: those of the versions
// that were published within the time for which replaced weights may be used,
// and of the newest version before it. At most kMaxWeightAges.
std::vector<WeightsAge>
AgesOfWeights(const EntryState& aState, TimePoint aNow);

// Returns the same for the versions that were published after a revision of the
// registry.
std::vector<WeightsAge>
AgesOfWeightsAfter(const EntryState& aState,
                   std::int64_t aRevision,
                   TimePoint aNow);

// Applies ages that another daemon reported. The time for which the message was
// on its way is not added, so that ages don't grow as they are passed on.
// Returns those by which a version is new or counts from an earlier time.
std::vector<WeightsAge>
LearnAges(EntryState& aState,
          const std::vector<WeightsAge>& aAges,
          TimePoint aNow);

// Returns true unless this daemon may have learnt late of weights that decide
// which ones may be used.
bool
KnowsAgesOfWeights(const EntryState& aState, TimePoint aNow);

} // namespace wigeonwalk
