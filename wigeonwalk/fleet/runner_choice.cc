#include "wigeonwalk/fleet/runner_choice.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace wigeonwalk {

namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBytesPerKilobyte = 1'000;

// Shorter parts are not fetched: the fixed delay of a transfer outweighs the
// time saved.
constexpr std::uint32_t kMinFetchTokens = 32;

// Shorter parts are not saved to a store, where they would take space and cause
// events; they stay at the runner that all daemons prefer for them.
constexpr std::uint32_t kMinSaveTokens = 1'024;

// Cache salt and part keys of the prompt for one version of the weights.
struct VersionKeys
{
  std::string salt;
  std::vector<PartKey> keys;
};

using KeysByVersion = std::map<WeightNumber, VersionKeys>;

const VersionKeys&
KeysOf(KeysByVersion& aKeys, const EngineQuery& aQuery, WeightNumber aVersion)
{
  const auto [entry, isNew] = aKeys.try_emplace(aVersion);
  if (isNew) {
    entry->second.salt =
      CacheSalt(aQuery.prompt.model, aVersion, aQuery.cacheDomain);
    for (const PromptPart& part : aQuery.prompt.parts) {
      entry->second.keys.push_back(KeyOfPart(entry->second.salt, part.id));
    }
  }
  return entry->second;
}

double
TransferMs(const EngineQuery& aQuery,
           const CacheHolder& aHolder,
           const AvailabilityZone& aTarget,
           std::uint32_t aTokens)
{
  const double bits = static_cast<double>(aTokens) *
                      static_cast<double>(aQuery.bytesPerToken) * kBitsPerByte;
  const double bitsPerMs = std::max(aHolder.linkMegabits, 1.0) * 1'000;
  const double zones = aHolder.zone == aTarget ? 1 : kZoneTransferFactor;
  return zones * bits / bitsPerMs + ToSeconds(aHolder.transferDelay) * 1'000;
}

// The cheapest source of one part.
struct Source
{
  const CacheHolder* holder = nullptr;
  double ms = 0;
};

Source
CheapestSource(const EngineQuery& aQuery,
               const Runner& aRunner,
               const PartKey& aKey,
               std::uint32_t aTokens,
               const PartIndex& aIndex,
               std::span<const CacheHolder> aHolders)
{
  Source best;
  for (const PartHolding& holding : aIndex.HoldersOf(aKey)) {
    if (holding.tokens < aTokens || holding.holder == aRunner.entry.id) {
      continue;
    }
    const auto holder = std::find_if(
      aHolders.begin(), aHolders.end(), [&](const CacheHolder& aEntry) {
        return aEntry.id == holding.holder;
      });
    if (holder == aHolders.end()) {
      continue;
    }
    const double ms = TransferMs(aQuery, *holder, aRunner.entry.zone, aTokens);
    if (best.holder == nullptr || ms < best.ms) {
      best = { &*holder, ms };
    }
  }
  return best;
}

// Fills in the tokens that the runner has cached, fetches and computes. Returns
// the expected time and penalties in milliseconds.
double
PlanParts(const EngineQuery& aQuery,
          const VersionKeys& aKeys,
          const PartIndex& aIndex,
          std::span<const CacheHolder> aHolders,
          EngineChoice& aChoice)
{
  const PlacementCosts& costs = aQuery.costs;
  const std::vector<PromptPart>& parts = aQuery.prompt.parts;
  aChoice.fetchFrom.assign(parts.size(), std::nullopt);
  double cost = 0;
  bool prefilling = false;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::uint32_t tokens = parts[i].tokens;
    const PartKey& key = aKeys.keys[i];
    if (!prefilling &&
        aIndex.TokensAt(aChoice.runner->entry.id, key) >= tokens) {
      aChoice.cachedTokens += tokens;
      continue;
    }
    const Source source =
      prefilling || tokens < kMinFetchTokens
        ? Source{}
        : CheapestSource(
            aQuery, *aChoice.runner, key, tokens, aIndex, aHolders);
    if (source.holder != nullptr) {
      aChoice.fetchFrom[i] = source.holder->address;
      aChoice.fetchedTokens += tokens;
      cost += source.ms + costs.transferMsPerToken * tokens;
      continue;
    }
    prefilling = true;
    aChoice.prefillTokens += tokens;
    const bool isCachedSomewhere = !aIndex.HoldersOf(key).empty();
    aChoice.recomputedTokens += isCachedSomewhere ? tokens : 0;
    cost += tokens / costs.readTokensPerMs +
            (isCachedSomewhere ? costs.recomputeMsPerToken * tokens : 0);
  }
  // Tokens that do not belong to any listed part.
  std::uint64_t listed = 0;
  for (const PromptPart& part : parts) {
    listed += part.tokens;
  }
  if (aQuery.prompt.inputTokens > listed) {
    const auto rest =
      static_cast<std::uint32_t>(aQuery.prompt.inputTokens - listed);
    aChoice.prefillTokens += rest;
    cost += rest / costs.readTokensPerMs;
  }
  return cost;
}

// Returns the expected wait for prefills, memory and slots of other requests at
// the runner.
double
QueueingMs(const EngineQuery& aQuery, const Runner& aRunner, TimePoint aNow)
{
  const PlacementCosts& costs = aQuery.costs;
  const double own = static_cast<double>(aRunner.tokensToPrefill);
  const Duration others =
    std::max(aRunner.othersPrefillUntil - aNow, Duration(0));
  double wait = own / costs.readTokensPerMs + ToSeconds(others) * 1'000;
  const std::uint64_t needed = aRunner.tokensInFlight +
                               aRunner.othersTokensInFlight +
                               aQuery.prompt.MemoryTokens(aQuery.runnerTokens);
  if (aQuery.runnerTokens > 0) {
    const double fill =
      static_cast<double>(needed) /
      (kMemoryShare * static_cast<double>(aQuery.runnerTokens));
    if (fill > 1) {
      wait += costs.fullRunnerMs * fill;
    }
  }
  if (aRunner.entry.slots > 0) {
    const std::uint32_t running = aRunner.inFlight + aRunner.othersInFlight;
    const double share = static_cast<double>(running) / aRunner.entry.slots;
    wait += share >= 1 ? costs.fullRunnerMs * share : costs.affinityMs * share;
  }
  return wait;
}

double
CrossZoneMs(const PlacementCosts& aCosts,
            const AvailabilityZone& aFrom,
            const AvailabilityZone& aTo,
            std::size_t aBytes)
{
  if (aFrom == aTo) {
    return 0;
  }
  return 2 * aCosts.zoneMs + aCosts.zoneMsPerKilobyte *
                               static_cast<double>(aBytes) / kBytesPerKilobyte;
}

// The highest rendezvous scores among all candidates, and among those in the
// zone.
struct AffinityScores
{
  std::uint64_t all = 0;
  std::uint64_t zone = 0;
};

std::uint64_t
AffinityScore(const Runner& aRunner, std::uint64_t aSeed)
{
  return HashBytes(aRunner.entry.id.Text(), aSeed).low;
}

// Returns the index of the largest part that other requests may share, or
// nothing. The last part is specific to the request, unless it is the only one.
std::optional<std::size_t>
LargestSharedPart(const Prompt& aPrompt)
{
  std::optional<std::size_t> largest;
  for (std::size_t i = 0; i < aPrompt.parts.size(); ++i) {
    const bool own = i + 1 == aPrompt.parts.size() && i > 0;
    if (!own && (!largest ||
                 aPrompt.parts[i].tokens > aPrompt.parts[*largest].tokens)) {
      largest = i;
    }
  }
  return largest;
}

std::uint64_t
AffinitySeed(const Prompt& aPrompt)
{
  const auto largest = LargestSharedPart(aPrompt);
  return largest ? HashBytes(aPrompt.parts[*largest].id, 0).low : 0;
}

// Returns the penalty for a runner that is not the rendezvous choice.
double
AffinityMs(const EngineQuery& aQuery,
           const EngineChoice& aChoice,
           const VersionKeys& aKeys,
           const PartIndex& aIndex)
{
  const auto largest = LargestSharedPart(aQuery.prompt);
  double penalty = aQuery.costs.affinityMs;
  if (!largest || aQuery.knowsAllZones) {
    return penalty;
  }
  const std::uint32_t tokens = aQuery.prompt.parts[*largest].tokens;
  const bool computes =
    !aChoice.fetchFrom[*largest] &&
    aIndex.TokensAt(aChoice.runner->entry.id, aKeys.keys[*largest]) < tokens;
  if (computes) {
    penalty += aQuery.costs.unknownPartMsPerToken * tokens;
  }
  return penalty;
}

// Returns true if the query's request may be sent to the runner.
bool
IsEligible(const EngineQuery& aQuery, const Runner& aRunner)
{
  const WeightNumber version = aRunner.VersionOf(aQuery.prompt.model);
  const bool mayWait =
    aQuery.room == RoomRule::Ignored && version >= aQuery.oldestWithoutRoom;
  return version >= aQuery.oldestUsable &&
         (mayWait || HasRoom(aQuery, aRunner));
}

// Chooses a store for each shared part that no store holds yet.
void
PlanSaves(const EngineQuery& aQuery,
          const VersionKeys& aKeys,
          const PartIndex& aIndex,
          std::span<const CacheHolder> aHolders,
          EngineChoice& aChoice)
{
  const std::vector<PromptPart>& parts = aQuery.prompt.parts;
  aChoice.saveTo.assign(parts.size(), std::nullopt);
  // The last part is not shared.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    if (parts[i].tokens < kMinSaveTokens) {
      continue;
    }
    bool kept = false;
    for (const PartHolding& holding : aIndex.HoldersOf(aKeys.keys[i])) {
      kept = kept || std::any_of(aHolders.begin(),
                                 aHolders.end(),
                                 [&](const CacheHolder& aEntry) {
                                   return aEntry.kind == HolderKind::Store &&
                                          aEntry.id == holding.holder;
                                 });
    }
    if (kept) {
      continue;
    }
    const CacheHolder* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const CacheHolder& holder : aHolders) {
      if (holder.kind != HolderKind::Store ||
          aIndex.TokensOf(holder.id) + parts[i].tokens >
            holder.capacityTokens) {
        continue;
      }
      const std::uint64_t score =
        HashBytes(holder.id.Text(), aKeys.keys[i].low).low;
      if (best == nullptr || score > bestScore) {
        best = &holder;
        bestScore = score;
      }
    }
    if (best != nullptr) {
      aChoice.saveTo[i] = best->address;
    }
  }
}

} // namespace

std::uint32_t
EnginePriority(std::uint32_t aRank, std::uint32_t aPrefillTokens)
{
  // Runners prefill prompts in chunks of this many tokens.
  constexpr std::uint32_t kPrefillChunkTokens = 2'048;
  return 2 * aRank + (aPrefillTokens > kPrefillChunkTokens ? 1 : 0);
}

bool
IsLargeRequest(std::uint64_t aTokens, std::uint64_t aRunnerTokens)
{
  return static_cast<double>(aTokens) >
           kLargeRequestFraction * static_cast<double>(aRunnerTokens) &&
         aRunnerTokens > 0;
}

bool
HasRoom(const EngineQuery& aQuery, const Runner& aRunner)
{
  const std::uint32_t running = aRunner.inFlight + aRunner.othersInFlight;
  if (running == 0) {
    return true;
  }
  if (aRunner.entry.slots > 0 && running >= aRunner.entry.slots) {
    return false;
  }
  if (aQuery.runnerTokens == 0) {
    return true;
  }
  const std::uint64_t needed = aQuery.prompt.MemoryTokens(aQuery.runnerTokens);
  const double share = IsLargeRequest(needed, aQuery.runnerTokens)
                         ? kLargeMemoryShare
                         : kMemoryShare;
  const std::uint64_t inFlight =
    aRunner.tokensInFlight + aRunner.othersTokensInFlight;
  return static_cast<double>(inFlight + needed) <=
         share * static_cast<double>(aQuery.runnerTokens);
}

std::optional<EngineChoice>
ChooseEngine(const EngineQuery& aQuery,
             std::span<const std::shared_ptr<Runner>> aCandidates,
             const PartIndex& aIndex,
             std::span<const CacheHolder> aHolders,
             TimePoint aNow)
{
  std::vector<std::shared_ptr<Runner>> eligible;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(eligible),
               [&aQuery](const std::shared_ptr<Runner>& aRunner) {
                 return IsEligible(aQuery, *aRunner);
               });
  // Without the runners that are full, so that the next one in rendezvous order
  // is the same for all daemons.
  const std::uint64_t seed = AffinitySeed(aQuery.prompt);
  AffinityScores scores;
  for (const auto& runner : eligible) {
    const std::uint64_t score = AffinityScore(*runner, seed);
    scores.all = std::max(scores.all, score);
    if (runner->entry.zone == aQuery.zone) {
      scores.zone = std::max(scores.zone, score);
    }
  }
  // All unknown versions share a salt, so between such runners parts of one
  // version would pass for those of another.
  const auto sourcesFor = [&](WeightNumber aVersion) {
    const bool mayTransfer = aVersion > 0 || aQuery.newest == 0;
    return mayTransfer ? aHolders : std::span<const CacheHolder>();
  };
  KeysByVersion keys;
  std::optional<EngineChoice> best;
  for (const auto& runner : eligible) {
    const WeightNumber version = runner->VersionOf(aQuery.prompt.model);
    const bool old = version < aQuery.newest;
    EngineChoice choice;
    choice.runner = runner;
    choice.version = version;
    const VersionKeys& versionKeys = KeysOf(keys, aQuery, version);
    const PlacementCosts& costs = aQuery.costs;
    choice.cost =
      PlanParts(aQuery, versionKeys, aIndex, sourcesFor(version), choice) +
      QueueingMs(aQuery, *runner, aNow) +
      CrossZoneMs(costs, aQuery.zone, runner->entry.zone, aQuery.bodyBytes) +
      costs.failureMs * runner->health.FailureRate(aNow) +
      (old ? costs.oldWeightsMs +
               costs.oldWeightsMsPerToken * aQuery.prompt.inputTokens
           : 0);
    const std::uint64_t score = AffinityScore(*runner, seed);
    if (score != scores.all) {
      const bool firstOfZone =
        score == scores.zone && runner->entry.zone == aQuery.zone;
      const double penalty = AffinityMs(aQuery, choice, versionKeys, aIndex);
      choice.cost += firstOfZone ? penalty / 2 : penalty;
    }
    if (!best || choice.cost < best->cost) {
      best = std::move(choice);
    }
  }
  if (best) {
    const VersionKeys& versionKeys = KeysOf(keys, aQuery, best->version);
    best->salt = versionKeys.salt;
    PlanSaves(aQuery, versionKeys, aIndex, sourcesFor(best->version), *best);
  }
  return best;
}

std::shared_ptr<Runner>
ChoosePlain(const PlainQuery& aQuery,
            std::span<const std::shared_ptr<Runner>> aCandidates,
            TimePoint aNow)
{
  std::shared_ptr<Runner> best;
  double bestCost = 0;
  for (const auto& runner : aCandidates) {
    const double latency = ToSeconds(runner->health.Latency()) * 1'000;
    const std::uint32_t slots = std::max<std::uint32_t>(runner->entry.slots, 1);
    const double running = runner->inFlight + runner->othersInFlight;
    // Calls in excess of the slots wait for a running call to end.
    const double waves = running / slots;
    const double wait = waves < 1 ? waves * latency / 2 : waves * latency;
    const double cost =
      latency + wait +
      CrossZoneMs(
        aQuery.costs, aQuery.zone, runner->entry.zone, aQuery.bodyBytes) +
      aQuery.costs.failureMs * runner->health.FailureRate(aNow);
    if (best == nullptr || cost < bestCost) {
      best = runner;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace wigeonwalk
