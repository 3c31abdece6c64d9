#include "wigeonwalk/entry/replaced_weights.h"

#include <algorithm>

namespace wigeonwalk {

Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction)
{
  return FromSeconds(aFraction *
                     ToSeconds(aState.Settings().bounds.newWeights));
}

WeightHistory
HistoryWithEstimates(const EntryState& aState, const ModelName& aModel)
{
  const WeightHistory& observed = aState.WeightsOf(aModel);
  WeightHistory history = observed;
  for (PublishedWeights estimate :
       aState.RecordedWeightsOf(aModel).Versions()) {
    if (observed.IsExact(estimate.version)) {
      continue;
    }
    for (const PublishedWeights& older : observed.Versions()) {
      if (older.version < estimate.version && !older.mayBeOlder) {
        estimate.knownSince = std::max(estimate.knownSince, older.knownSince);
      }
    }
    history.Record(estimate);
  }
  return history;
}

TimePoint
UsableUntil(const EntryState& aState,
            const ModelName& aModel,
            WeightNumber aVersion)
{
  const WeightHistory history = HistoryWithEstimates(aState, aModel);
  const auto replacedAt = history.ReplacedAt(aVersion);
  return replacedAt
           ? *replacedAt + FractionOfTimeForNewWeights(aState, kSendFraction)
           : TimePoint::max();
}

} // namespace wigeonwalk
