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

// Older weights are no longer used once most of the time allowed for the
// introduction of new ones has passed. The time before this daemon's start is
// an estimate; it counts only if a good part of the runners have the new
// weights, so that a wrong one can't stop the service.
bool
RequiresNewestWeights(const EntryState& aState,
                      const ModelName& aModel,
                      const KnownWeights& aNewest,
                      const Candidates& aCandidates,
                      TimePoint aNow)
{
  constexpr double kUsableFraction = 0.8;
  constexpr std::size_t kLeastShareWithNewest = 3;
  const Duration allowed = FromSeconds(
    kUsableFraction * ToSeconds(aState.Settings().bounds.newWeights));
  if (aNewest.version <= 1) {
    return false;
  }
  const Duration known = aNow - aNewest.since;
  if (known > allowed) {
    return true;
  }
  if (known + aState.AgeAtStart(aNewest) <= allowed) {
    return false;
  }
  const auto withNewest = static_cast<std::size_t>(std::count_if(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aRunner) {
      return aRunner->VersionOf(aModel) >= aNewest.version;
    }));
  return withNewest * kLeastShareWithNewest >= aCandidates.size();
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
  const KnownWeights newest = aState.WeightsOf(aRequest.prompt->model);
  const bool isolated =
    aAdmitted.organisation != nullptr && aAdmitted.organisation->isolated;
  const EngineTraits& traits = *aAdmitted.service->engine;
  const EngineQuery query{
    .prompt = *aRequest.prompt,
    .isolationDomain =
      isolated ? aAdmitted.organisation->name.Text() : std::string(),
    .zone = aState.Settings().zone,
    .bodyBytes = aRequest.bodyBytes,
    .runnerTokens = traits.cacheTokens,
    .bytesPerToken = traits.bytesPerToken,
    .newest = newest.version,
    .onlyNewest = RequiresNewestWeights(
      aState, aRequest.prompt->model, newest, aCandidates, aNow),
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
  pick.spec.timeLeft = aAdmitted.deadline - aNow;
  if (aAdmitted.organisation != nullptr) {
    pick.spec.organisation = aAdmitted.organisation->name;
  }
  return pick;
}

} // namespace wigeonwalk
