// For how long weights may be used after newer ones were published.
//
//   const TimePoint until = UsableUntil(state, model, version);
#pragma once

#include "wigeonwalk/entry/entry_state.h"

namespace wigeonwalk {

// Fractions of the time allowed for the introduction of new weights. Runners
// with replaced weights get no requests without room for them after the first,
// none at all after the second, and no request may run there beyond the third.
// The rest covers the time until this daemon has learnt of the new weights.
inline constexpr double kWaitFraction = 0.6;
inline constexpr double kSendFraction = 0.8;
inline constexpr double kStartFraction = 0.9;

// Returns a fraction of the time allowed for the introduction of new weights.
Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction);

// Returns since when each version of the weights is known, or is estimated if
// neither this daemon nor one that it asked has observed the publication. An
// estimate is the registry's record, or else the earliest time that the
// registry allows: its checkpoint, or the publication of the version before.
// Without either, the whole time for the introduction of new weights counts as
// over.
WeightHistory
HistoryWithEstimates(const EntryState& aState, const ModelName& aModel);

// Returns until when runners with this version of a model's weights get
// requests; TimePoint::max() if no newer ones are known.
TimePoint
UsableUntil(const EntryState& aState,
            const ModelName& aModel,
            WeightNumber aVersion);

} // namespace wigeonwalk
