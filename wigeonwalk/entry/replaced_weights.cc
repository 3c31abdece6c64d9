#include "wigeonwalk/entry/replaced_weights.h"

#include <algorithm>

namespace wigeonwalk {

Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction)
{
  return FromSeconds(aFraction *
                     ToSeconds(aState.Settings().bounds.newWeights));
}

TimePoint
UsableUntil(const EntryState& aState,
            const ModelName& aModel,
            WeightNumber aVersion)
{
  const WeightHistory& history = aState.WeightsOf(aModel);
  const auto replacedAt = history.ReplacedAt(aVersion);
  if (!replacedAt) {
    return TimePoint::max();
  }
  const PublishedWeights newest = history.Newest();
  const TimePoint newestSince = newest.knownSince - aState.AgeAtStart(newest);
  return std::min(*replacedAt, newestSince) +
         FractionOfTimeForNewWeights(aState, kSendFraction);
}

} // namespace wigeonwalk
