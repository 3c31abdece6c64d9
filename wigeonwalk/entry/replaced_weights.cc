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

// Returns the earliest time at which weights without a record can have been
// published. A checkpoint that is later than the time at which they were found
// is of a host whose clock was ahead, and bounds nothing.
TimePoint
EarliestPublication(const EntryState& aState,
                    const WeightHistory& aRecorded,
                    const PublishedWeights& aFound)
{
  const TimePoint foundAt = aFound.knownSince;
  const auto checkpoint = aState.WeightsRecordedUntil();
  TimePoint earliest = checkpoint && *checkpoint <= foundAt
                         ? *checkpoint
                         : foundAt - aState.Settings().bounds.newWeights;
  for (const PublishedWeights& older : aRecorded.Versions()) {
    if (older.version < aFound.version) {
      earliest = std::max(earliest, std::min(older.knownSince, foundAt));
    }
  }
  return earliest;
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
      publication.knownSince =
        EarliestPublication(aState, recorded, publication);
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
