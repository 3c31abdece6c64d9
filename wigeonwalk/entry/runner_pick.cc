#include "wigeonwalk/entry/runner_pick.h"

#include "wigeonwalk/entry/replaced_weights.h"

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

// Returns the oldest version that was not replaced longer ago than a fraction
// of the time for new weights. Each version counts from the first one that
// replaced it.
WeightNumber
OldestWeightsWithin(const EntryState& aState,
                    const WeightHistory& aHistory,
                    double aFraction,
                    TimePoint aNow)
{
  const WeightNumber oldest = aHistory.NewestKnownAt(
    aNow - FractionOfTimeForNewWeights(aState, aFraction));
  return oldest <= kFirstWeights ? 0 : oldest;
}

// Limits a request on replaced weights to the time for which they may be used:
// at its end the runner rejects a request that still waits, and stops one that
// runs. A runner of unknown version may have any but the newest weights.
void
LimitToUseOfWeights(const EntryState& aState,
                    const WeightHistory& aHistory,
                    RunnerPick& aPick,
                    TimePoint aNow)
{
  const auto replacedAt =
    aHistory.ReplacedAt(std::max(aPick.spec.version, kFirstWeights));
  if (!replacedAt) {
    return;
  }
  aPick.replacedFor = aNow - *replacedAt;
  const Duration usable =
    FractionOfTimeForNewWeights(aState, kStartFraction) - aPick.replacedFor;
  aPick.spec.timeLeft =
    std::max(std::min(aPick.spec.timeLeft, usable), Duration(0));
}

// Removes runners whose version is not listed yet, if there are others: a
// stream that such a runner begins may be taken for one of a listed version.
void
KeepListed(const EntryState& aState, Candidates& aCandidates)
{
  if (!aState.streamVersions) {
    return;
  }
  const auto isListed = [&aState](const std::shared_ptr<Runner>& aRunner) {
    return aState.streamVersions->Lists(aRunner->Origin());
  };
  const auto unlisted =
    std::stable_partition(aCandidates.begin(), aCandidates.end(), isListed);
  if (unlisted != aCandidates.begin()) {
    aCandidates.erase(unlisted, aCandidates.end());
  }
}

// Removes the runners at which it is not this daemon's turn.
void
KeepTurns(const EntryState& aState,
          Candidates& aCandidates,
          double aTurns,
          TimePoint aNow)
{
  if (aTurns >= 1) {
    return;
  }
  const auto turn = static_cast<std::uint64_t>(aNow.time_since_epoch() /
                                               Contention::kLookInterval);
  const HostId& host = aState.Settings().host;
  std::erase_if(aCandidates, [&](const std::shared_ptr<Runner>& aRunner) {
    return !HasTurn(host, aRunner->entry.id.Text(), turn, aTurns);
  });
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
  const EngineTraits& traits = *aAdmitted.service->engine;
  const WeightHistory history = HistoryWithEstimates(aState, model);
  aPick.cacheDomain = CurrentCacheDomain(aState, aAdmitted);
  const EngineQuery query{
    .prompt = *aRequest.prompt,
    .cacheDomain = *aPick.cacheDomain,
    .zone = aState.Settings().zone,
    .bodyBytes = aRequest.bodyBytes,
    .runnerTokens = traits.cacheTokens,
    .bytesPerToken = traits.bytesPerToken,
    .newest = aState.WeightsOf(model).Newest().version,
    .oldestUsable = OldestWeightsWithin(aState, history, kSendFraction, aNow),
    .oldestWithoutRoom =
      OldestWeightsWithin(aState, history, kWaitFraction, aNow),
    .knowsAllZones = aState.KnowsAllZones(),
    .room = aRoom,
    .costs = CostsFrom(aState),
  };
  auto sources = aState.Sources(aNow);
  std::erase_if(sources, [&](const CacheHolder& aHolder) {
    return !aState.Places().IsHome(aHolder.zone, aAdmitted.homes);
  });
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

std::string
CurrentCacheDomain(const EntryState& aState, const AdmittedRequest& aAdmitted)
{
  const OrganisationId* organisation =
    aAdmitted.organisation == nullptr ? nullptr : &aAdmitted.organisation->name;
  const RouteTable& newest = *aState.Routes();
  const bool isRemoved =
    organisation != nullptr && !newest.HasOrganisation(*organisation);
  return (isRemoved ? *aAdmitted.routes : newest)
    .Domains()
    .Of(organisation, aAdmitted.homes);
}

std::optional<RunnerPick>
PickRunner(const EntryState& aState,
           const EntryRequest& aRequest,
           const AdmittedRequest& aAdmitted,
           const std::vector<UpstreamId>& aTried,
           const PickRules& aRules,
           TimePoint aNow)
{
  Candidates candidates =
    aState.Candidates(aAdmitted.service->name, aTried, aNow, aRules.resumed);
  std::erase_if(candidates, [&](const std::shared_ptr<Runner>& aRunner) {
    return !aState.Places().IsHome(aRunner->entry.zone, aAdmitted.homes);
  });
  if (aRules.resumed == nullptr && aAdmitted.route->CanBeResumed()) {
    KeepListed(aState, candidates);
  }
  if (aRequest.prompt) {
    KeepTurns(aState, candidates, aRules.turns, aNow);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  RunnerPick pick;
  pick.spec.timeLeft = aAdmitted.deadline - aNow;
  if (aRequest.prompt && aAdmitted.service->engine) {
    if (!PickForPrompt(
          aState, aRequest, aAdmitted, candidates, aRules.room, pick, aNow)) {
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
