// For how long weights may be used after newer ones were published.
//
//   const TimePoint until = UsableUntil(state, model, version);
#pragma once

#include "wigeonwalk/entry/entry_state.h"

namespace wigeonwalk {

// Fractions of the time allowed for the introduction of new weights. Replaced
// weights get no requests after the first, and none may wait at its runner
// beyond the second. The rest covers the time until this daemon has learnt of
// the new weights.
inline constexpr double kSendFraction = 0.8;
inline constexpr double kStartFraction = 0.9;

// Returns a fraction of the time allowed for the introduction of new weights.
Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction);

// Returns until when a version of a model's weights gets requests, by the time
// since which newer ones are known and the estimated age of the newest at this
// daemon's start. TimePoint::max() if no newer ones are known.
TimePoint
UsableUntil(const EntryState& aState,
            const ModelName& aModel,
            WeightNumber aVersion);

} // namespace wigeonwalk
