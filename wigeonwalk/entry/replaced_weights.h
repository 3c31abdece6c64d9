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

// For how long all daemons may have been down before one of them finds weights
// that none has observed.
inline constexpr Duration kUnobservedTime = std::chrono::seconds(3);

// Returns a fraction of the time allowed for the introduction of new weights.
Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction);

// Returns since when each version of the weights is known, or is estimated if
// neither this daemon nor one that it asked has observed the publication: from
// the registry's record, or else kUnobservedTime before it was found. An
// estimate does not shorten the time that counts from an observed one.
WeightHistory
HistoryWithEstimates(const EntryState& aState, const ModelName& aModel);

// Returns until when runners with this version of a model's weights get
// requests; TimePoint::max() if no newer ones are known.
TimePoint
UsableUntil(const EntryState& aState,
            const ModelName& aModel,
            WeightNumber aVersion);

} // namespace wigeonwalk
