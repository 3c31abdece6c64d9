// Placement: chooses the runner for a request, and the holders from which it
// fetches cached parts.
//
//   EngineQuery query{ .prompt = prompt, .cacheDomain = domain, ... };
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

// Kind of process from which parts can be fetched or to which they are saved.
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

// A runner or KV cache store from which parts can be fetched.
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

// Parameters of the placement cost, in milliseconds of expected delay.
// Penalties for traffic and repeated computation are expressed as delays as
// well.
struct PlacementCosts
{
  // Prefill rate of a runner in tokens per millisecond.
  double readTokensPerMs = 38;
  // One-way latency between availability zones.
  double zoneMs = 4;
  // Penalty for each kilobyte of a request's body that leaves the zone.
  double zoneMsPerKilobyte = 3;
  // Penalty for each token that is computed although a holder has it cached, in
  // addition to the time of its prefill.
  double recomputeMsPerToken = 0.15;
  // Penalty for each token that is transferred, in addition to the time of the
  // transfer.
  double transferMsPerToken = 0.002;
  // Penalty for a runner that is not the rendezvous choice of all daemons for
  // the prompt's largest shared part, so that few runners hold each part. Half
  // of it for the rendezvous choice within the zone.
  double affinityMs = 40;
  // Added to affinityMs for each token of that part, if this daemon doesn't
  // know what the runners of other zones have cached: the rendezvous choice
  // probably has the part, which any other runner would compute again.
  double unknownPartMsPerToken = 0.013;
  // Penalty for a failure rate of 1; proportionally less below.
  double failureMs = 1'000;
  // Expected wait for memory or a slot at a full runner.
  double fullRunnerMs = 600;
  // Penalty for a request on weights that are not the newest, and for each
  // token of its prompt.
  double oldWeightsMs = 50;
  double oldWeightsMsPerToken = 0.015;
};

// A transfer between zones takes this many times as long.
inline constexpr double kZoneTransferFactor = 2;

// Fraction of a runner's memory that requests may fill before new ones wait.
inline constexpr double kMemoryShare = 0.95;

// Fraction that large requests may fill; the rest is left to small ones, which
// would otherwise wait for the end of a long run or preempt it.
inline constexpr double kLargeMemoryShare = 0.88;

// Requests that need more than this fraction of a runner's memory are large.
inline constexpr double kLargeRequestFraction = 1.0 / 32;

// Whether a runner must have memory and a slot for the request.
enum class RoomRule
{
  Required,
  Ignored,
};

template<>
struct EnumNames<RoomRule>
{
  static constexpr std::array<EnumName<RoomRule>, 2> kTable{ {
    { RoomRule::Required, "required" },
    { RoomRule::Ignored, "ignored" },
  } };
};
static_assert(HasCompleteTable<RoomRule>());

// A request with a prompt for which a runner is to be chosen.
struct EngineQuery
{
  const Prompt& prompt;
  // The domain within which KV cache may be used (CacheDomains).
  std::string cacheDomain;
  AvailabilityZone zone;
  std::size_t bodyBytes = 0;
  // Memory of a runner in tokens; zero if unknown.
  std::uint64_t runnerTokens = 0;
  // Size of the KV cache of one token.
  std::uint64_t bytesPerToken = 0;
  // The newest published weights, or zero.
  WeightNumber newest = 0;
  // Runners with older weights are excluded.
  WeightNumber oldestUsable = 0;
  // Runners with older weights must have room for the request, whatever `room`
  // says: it must not wait there.
  WeightNumber oldestWithoutRoom = 0;
  // The index covers the runners of all zones.
  bool knowsAllZones = true;
  RoomRule room = RoomRule::Ignored;
  PlacementCosts costs;
};

struct EngineChoice
{
  std::shared_ptr<Runner> runner;
  WeightNumber version = 0;
  std::string salt;
  // One entry for each part: the address to fetch it from or save it to, if
  // any.
  std::vector<std::optional<std::string>> fetchFrom;
  std::vector<std::optional<std::string>> saveTo;
  // Prompt tokens that the runner has cached, fetches from a holder, or
  // computes.
  std::uint32_t cachedTokens = 0;
  std::uint32_t fetchedTokens = 0;
  std::uint32_t prefillTokens = 0;
  // Computed tokens of parts that some holder has cached.
  std::uint32_t recomputedTokens = 0;
  // Expected cost by which the runner was chosen, in milliseconds.
  double cost = 0;
};

// Returns the priority of a request at its runner, 0 for the most urgent.
// Within a rank, prompts that are prefilled in one chunk precede longer ones,
// behind which they would wait for many times their own prefill time.
std::uint32_t
EnginePriority(std::uint32_t aRank, std::uint32_t aPrefillTokens);

// Returns true if a request that needs this much memory, in tokens, is large
// for a runner with `aRunnerTokens`. Nothing is large if that is unknown.
bool
IsLargeRequest(std::uint64_t aTokens, std::uint64_t aRunnerTokens);

// Returns true if the runner has a slot and memory for the query's request, by
// the requests in flight there. An empty runner has room for any request.
bool
HasRoom(const EngineQuery& aQuery, const Runner& aRunner);

// Returns the candidate with the lowest expected cost, or nothing if none may
// be used. `aHolders` contains only holders that currently answer.
std::optional<EngineChoice>
ChooseEngine(const EngineQuery& aQuery,
             std::span<const std::shared_ptr<Runner>> aCandidates,
             const PartIndex& aIndex,
             std::span<const CacheHolder> aHolders,
             TimePoint aNow);

// A request without a prompt for which a runner is to be chosen.
struct PlainQuery
{
  AvailabilityZone zone;
  std::size_t bodyBytes = 0;
  PlacementCosts costs;
};

// Returns the candidate with the lowest expected latency, or null.
std::shared_ptr<Runner>
ChoosePlain(const PlainQuery& aQuery,
            std::span<const std::shared_ptr<Runner>> aCandidates,
            TimePoint aNow);

} // namespace wigeonwalk
