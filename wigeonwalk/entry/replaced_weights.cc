#include "wigeonwalk/entry/replaced_weights.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Moves an estimated time to that of the older versions that were observed.
void
NotBeforeOlder(const WeightHistory& aObserved, PublishedWeights& aEstimate)
{
  for (const PublishedWeights& older : aObserved.Versions()) {
    if (older.version < aEstimate.version && !older.mayBeOlder) {
      aEstimate.knownSince = std::max(aEstimate.knownSince, older.knownSince);
    }
  }
}

} // namespace

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
  const WeightHistory& recorded = aState.RecordedWeightsOf(aModel);
  WeightHistory history;
  for (PublishedWeights publication : observed.Versions()) {
    if (publication.mayBeOlder && !recorded.Knows(publication.version)) {
      publication.knownSince -= kUnobservedTime;
      NotBeforeOlder(observed, publication);
    }
    history.Record(publication);
  }
  for (PublishedWeights estimate : recorded.Versions()) {
    if (!observed.IsExact(estimate.version)) {
      NotBeforeOlder(observed, estimate);
      history.Record(estimate);
    }
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
