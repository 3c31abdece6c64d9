#include "wigeonwalk/entry/replaced_weights.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwalk {

namespace {

using Runners = std::vector<std::shared_ptr<Runner>>;

// Returns true if a good part of a service's runners have the weights or newer
// ones, so that a wrong estimate of their age can't stop the service.
bool
IsWidelyLoaded(const ModelName& aModel,
               WeightNumber aVersion,
               const Runners& aRunners)
{
  constexpr std::size_t kLeastShareWithWeights = 3;
  const auto withWeights = static_cast<std::size_t>(
    std::count_if(aRunners.begin(), aRunners.end(), [&](const auto& aRunner) {
      return aRunner->VersionOf(aModel) >= aVersion;
    }));
  return withWeights * kLeastShareWithWeights >= aRunners.size();
}

} // namespace

Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction)
{
  return FromSeconds(aFraction *
                     ToSeconds(aState.Settings().bounds.newWeights));
}

WeightHistory
HistoryWithEstimates(const EntryState& aState,
                     const ModelName& aModel,
                     const ServiceName& aService)
{
  const WeightHistory& observed = aState.WeightsOf(aModel);
  std::optional<Runners> runners;
  WeightHistory history = observed;
  for (PublishedWeights estimate :
       aState.RecordedWeightsOf(aModel).Versions()) {
    if (observed.IsExact(estimate.version)) {
      continue;
    }
    if (!runners) {
      runners = aState.fleet.RunnersOf(aService);
    }
    if (!IsWidelyLoaded(aModel, estimate.version, *runners)) {
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
            const ServiceName& aService,
            WeightNumber aVersion)
{
  const WeightHistory history = HistoryWithEstimates(aState, aModel, aService);
  const auto replacedAt = history.ReplacedAt(aVersion);
  return replacedAt
           ? *replacedAt + FractionOfTimeForNewWeights(aState, kSendFraction)
           : TimePoint::max();
}

} // namespace wigeonwalk
