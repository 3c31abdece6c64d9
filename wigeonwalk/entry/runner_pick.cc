#include "wigeonwalk/entry/runner_pick.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

using Candidates = std::vector<std::shared_ptr<Runner>>;

PlacementCosts
CostsFrom(const EntryState& aState)
{
  PlacementCosts costs;
  costs.readTokensPerMs = aState.Settings().readTokensPerMs;
  return costs;
}

// Fractions of the time allowed for the introduction of new weights. Replaced
// weights get no requests after the first, and none may wait at its runner
// beyond the second. The rest covers the time until this daemon has learnt of
// the new weights.
constexpr double kSendFraction = 0.8;
constexpr double kStartFraction = 0.9;

Duration
FractionOfTimeForNewWeights(const EntryState& aState, double aFraction)
{
  return FromSeconds(aFraction *
                     ToSeconds(aState.Settings().bounds.newWeights));
}

// Returns true if a good part of a service's runners have the weights or newer
// ones, so that a wrong estimate of their age can't stop the service.
bool
IsWidelyLoaded(const ModelName& aModel,
               WeightNumber aVersion,
               const Candidates& aRunners)
{
  constexpr std::size_t kLeastShareWithWeights = 3;
  const auto withWeights = static_cast<std::size_t>(
    std::count_if(aRunners.begin(), aRunners.end(), [&](const auto& aRunner) {
      return aRunner->VersionOf(aModel) >= aVersion;
    }));
  return withWeights * kLeastShareWithWeights >= aRunners.size();
}

// Returns since when each version of the weights is known, or is estimated from
// the registry's record if neither this daemon nor one that it asked has
// observed the publication. An estimate does not shorten the time that counts
// from an observed one.
WeightHistory
HistoryWithEstimates(const EntryState& aState,
                     const ModelName& aModel,
                     const ServiceName& aService)
{
  const WeightHistory& observed = aState.WeightsOf(aModel);
  const Candidates runners = aState.fleet.RunnersOf(aService);
  WeightHistory history = observed;
  for (PublishedWeights estimate :
       aState.RecordedWeightsOf(aModel).Versions()) {
    if (observed.IsExact(estimate.version) ||
        !IsWidelyLoaded(aModel, estimate.version, runners)) {
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

// Returns the oldest version that may get requests now. Each version counts
// from the first one that replaced it.
WeightNumber
OldestUsableWeights(const EntryState& aState,
                    const WeightHistory& aHistory,
                    TimePoint aNow)
{
  const WeightNumber oldest = aHistory.NewestKnownAt(
    aNow - FractionOfTimeForNewWeights(aState, kSendFraction));
  // No weights are older than the first version.
  return oldest <= 1 ? 0 : oldest;
}

// Limits a request on replaced weights to the time for which they may be used:
// the runner rejects it if it still waits there at the end.
void
LimitToUseOfWeights(const EntryState& aState,
                    const WeightHistory& aHistory,
                    RunnerPick& aPick,
                    TimePoint aNow)
{
  const auto replacedAt = aHistory.ReplacedAt(aPick.spec.version);
  if (!replacedAt) {
    return;
  }
  aPick.replacedFor = aNow - *replacedAt;
  const Duration usable =
    FractionOfTimeForNewWeights(aState, kStartFraction) - aPick.replacedFor;
  aPick.spec.timeLeft = std::min(aPick.spec.timeLeft, usable);
}

bool
PickForPrompt(const EntryState& aState,
              const EntryRequest& aRequest,
              const AdmittedRequest& aAdmitted,
              const Candidates& aCandidates,
              RoomRule aRoom,
              RunnerPick& aPick,
              TimePoint aNow)
{
  const ModelName& model = aRequest.prompt->model;
  const bool isolated =
    aAdmitted.organisation != nullptr && aAdmitted.organisation->isolated;
  const EngineTraits& traits = *aAdmitted.service->engine;
  const WeightHistory history =
    HistoryWithEstimates(aState, model, aAdmitted.service->name);
  const EngineQuery query{
    .prompt = *aRequest.prompt,
    .isolationDomain =
      isolated ? aAdmitted.organisation->name.Text() : std::string(),
    .zone = aState.Settings().zone,
    .bodyBytes = aRequest.bodyBytes,
    .runnerTokens = traits.cacheTokens,
    .bytesPerToken = traits.bytesPerToken,
    .newest = aState.WeightsOf(model).Newest().version,
    .oldestUsable = OldestUsableWeights(aState, history, aNow),
    .knowsAllZones = aState.KnowsAllZones(),
    .room = aRoom,
    .costs = CostsFrom(aState),
  };
  const auto sources = aState.Sources(aNow);
  auto choice = ChooseEngine(query, aCandidates, aState.parts, sources, aNow);
  if (!choice) {
    return false;
  }
  aPick.runner = std::move(choice->runner);
  aPick.spec.version = choice->version;
  aPick.spec.cacheSalt = std::move(choice->salt);
  aPick.spec.fetchFrom = std::move(choice->fetchFrom);
  aPick.spec.saveTo = std::move(choice->saveTo);
  aPick.spec.priority =
    EnginePriority(aAdmitted.Priority(), choice->prefillTokens);
  aPick.prefillTokens = choice->prefillTokens;
  aPick.recomputedTokens = choice->recomputedTokens;
  aPick.cachedTokens = choice->cachedTokens;
  aPick.fetchedTokens = choice->fetchedTokens;
  aPick.cost = choice->cost;
  LimitToUseOfWeights(aState, history, aPick, aNow);
  return true;
}

} // namespace

std::optional<RunnerPick>
PickRunner(const EntryState& aState,
           const EntryRequest& aRequest,
           const AdmittedRequest& aAdmitted,
           const std::vector<UpstreamId>& aTried,
           RoomRule aRoom,
           TimePoint aNow)
{
  const Candidates candidates =
    aState.Candidates(aAdmitted.service->name, aTried, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  RunnerPick pick;
  pick.spec.timeLeft = aAdmitted.deadline - aNow;
  if (aRequest.prompt && aAdmitted.service->engine) {
    if (!PickForPrompt(
          aState, aRequest, aAdmitted, candidates, aRoom, pick, aNow)) {
      return std::nullopt;
    }
  } else {
    const PlainQuery query{ aState.Settings().zone,
                            aRequest.bodyBytes,
                            CostsFrom(aState) };
    pick.runner = ChoosePlain(query, candidates, aNow);
  }
  pick.spec.address = pick.runner->entry.address;
  pick.spec.runner = pick.runner->entry.id;
  if (aAdmitted.organisation != nullptr) {
    pick.spec.organisation = aAdmitted.organisation->name;
  }
  return pick;
}

} // namespace wigeonwalk
