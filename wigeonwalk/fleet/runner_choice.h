// Which runner gets a request, and from where it takes cached parts.
//
//   EngineQuery query{ .prompt = prompt, .salt = saltOf, .zone = zone, ... };
//   if (auto choice = ChooseEngine(query, candidates, index, holders, now)) {
//     ... send the request to choice->runner ...
//   }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/cache_salt.h"
#include "wigeonwalk/fleet/part_index.h"
#include "wigeonwalk/fleet/prompt.h"
#include "wigeonwalk/fleet/runner.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wigeonwalk {

// Where parts can be fetched from or saved to.
enum class HolderKind
{
  Runner,
  Store,
};

template<>
struct EnumNames<HolderKind>
{
  static constexpr std::array<EnumName<HolderKind>, 2> kTable{ {
    { HolderKind::Runner, "runner" },
    { HolderKind::Store, "store" },
  } };
};
static_assert(HasCompleteTable<HolderKind>());

// A runner or a store of KV cache as a source of parts.
struct CacheHolder
{
  UpstreamId id;
  HolderKind kind = HolderKind::Runner;
  std::string address;
  AvailabilityZone zone;
  double linkMegabits = 0;
  Duration transferDelay{ 0 };
  std::uint64_t capacityTokens = 0;
};

// What the choice weighs, in milliseconds of expected delay.
struct ChoiceWeights
{
  // Prompt tokens that a runner reads in a millisecond.
  double readTokensPerMs = 38;
  // One way between availability zones.
  double zoneMs = 4;
  // Price of a kilobyte of a request's body that leaves the zone.
  double zoneMsPerKilobyte = 3;
  // Price of a token that is read although it was read before, beyond the time
  // that reading takes.
  double rereadMsPerToken = 0.15;
  // Price of a token that is moved, beyond the time of the move.
  double moveMsPerToken = 0.002;
  // Cost of a runner that is not the first choice of all daemons for the
  // prompt's largest shared part, so that few runners hold each part. Half of
  // it for the first choice in the zone.
  double affinityMs = 40;
  // Cost of a failure rate of one.
  double failureMs = 1'000;
  // Wait for memory or a slot where a runner is full.
  double fullMs = 600;
  // Cost of a request on weights that are no longer the newest, and of each
  // token of its prompt.
  double oldWeightsMs = 50;
  double oldWeightsMsPerToken = 0.015;
};

// A transfer between zones takes this many times as long.
inline constexpr double kZoneTransferFactor = 2;

// Share of a runner's memory that requests may fill before they have to wait.
inline constexpr double kMemoryShare = 0.95;

// One request that is to be placed.
struct EngineQuery
{
  const Prompt& prompt;
  // Keeps apart the cache of organisations that share nothing.
  std::string wall;
  AvailabilityZone zone;
  std::size_t bodyBytes = 0;
  std::uint64_t runnerTokens = 0;
  std::uint64_t bytesPerToken = 0;
  // The newest weights that were named, or zero.
  WeightNumber newest = 0;
  // Only the newest weights may be used.
  bool onlyNewest = false;
  ChoiceWeights weights;
};

struct EngineChoice
{
  std::shared_ptr<Runner> runner;
  WeightNumber version = 0;
  std::string salt;
  // One entry for each part: the address to fetch it from or save it to.
  std::vector<std::optional<std::string>> fetchFrom;
  std::vector<std::optional<std::string>> saveTo;
  std::uint32_t cachedTokens = 0;
  std::uint32_t fetchedTokens = 0;
  std::uint32_t readTokens = 0;
  // Of these, tokens of parts that some holder keeps.
  std::uint32_t rereadTokens = 0;
  // The estimate that decided, in milliseconds.
  double cost = 0;
};

// Returns the priority of a request at its runner, 0 for the most urgent. Of
// the same rank, prompts that are read in one piece go before longer ones,
// which would keep them waiting for many times their own work.
std::uint32_t
EnginePriority(std::uint32_t aRank, std::uint32_t aReadTokens);

// Returns the candidate with the lowest expected cost, or nothing where none
// may be used. `aHolders` are the sources that answer at present.
std::optional<EngineChoice>
ChooseEngine(const EngineQuery& aQuery,
             std::span<const std::shared_ptr<Runner>> aCandidates,
             const PartIndex& aIndex,
             std::span<const CacheHolder> aHolders,
             TimePoint aNow);

// One call to a plain service that is to be placed.
struct PlainQuery
{
  AvailabilityZone zone;
  std::size_t bodyBytes = 0;
  ChoiceWeights weights;
};

// Returns the candidate with the lowest expected latency, or null.
std::shared_ptr<Runner>
ChoosePlain(const PlainQuery& aQuery,
            std::span<const std::shared_ptr<Runner>> aCandidates,
            TimePoint aNow);

} // namespace wigeonwalk
