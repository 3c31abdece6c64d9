// Placement policies that the replay compares.
//
// A policy has `kTraits` and Choose, which uses only what its daemon knows.
//
//   PlacementChoice choice = policy.Choose(input);
#pragma once

#include "returning_prompts/simulation.h"

#include <concepts>

namespace wigeonwalk::replay {

// Input of a policy for one request.
struct PolicyInput
{
  Simulation& simulation;
  Daemon& daemon;
  const Arrival& arrival;
  std::span<const PieceKey> chain;
  std::span<const StoredPiece> stored;
};

template<typename P>
concept Policy = requires(P& aPolicy, const PolicyInput& aInput)
{
  {
    P::kTraits
    } -> std::convertible_to<PolicyTraits>;
  {
    aPolicy.Choose(aInput)
    } -> std::same_as<PlacementChoice>;
};

// Returns the runner with the shortest queue as estimated by the daemon.
// Ignores caches.
std::uint32_t
LeastLoaded(const PolicyInput& aInput);

struct RandomRunner
{
  static constexpr PolicyTraits kTraits{ .name = "random" };
  PlacementChoice Choose(const PolicyInput& aInput);
};

struct RoundRobin
{
  static constexpr PolicyTraits kTraits{ .name = "round-robin" };
  PlacementChoice Choose(const PolicyInput& aInput);
  std::uint32_t next = 0;
};

struct LeastLoadedRunner
{
  static constexpr PolicyTraits kTraits{ .name = "least-loaded" };
  PlacementChoice Choose(const PolicyInput& aInput);
};

// Chooses the runner with the longest cached prefix, however long its queue is,
// or one by hash of the first piece if no runner holds a prefix.
struct PrefixAffinity
{
  static constexpr PolicyTraits kTraits{ .name = "prefix-affinity" };
  PlacementChoice Choose(const PolicyInput& aInput);
};

// Recomputes every prompt from its beginning.
struct AlwaysRecompute
{
  static constexpr PolicyTraits kTraits{ .name = "always-recompute",
                                         .recomputes = true };
  PlacementChoice Choose(const PolicyInput& aInput);
};

// Restores every stored piece on the least loaded runner.
struct AlwaysRestore
{
  static constexpr PolicyTraits kTraits{ .name = "always-restore",
                                         .restores = true };
  PlacementChoice Choose(const PolicyInput& aInput);
};

// Uses the product's placement code.
struct Wigeonwalk
{
  static constexpr PolicyTraits kTraits{ .name = "wigeonwalk",
                                         .restores = true,
                                         .retainsByValue = true,
                                         .shortPrefillsFirst = true,
                                         .fairQueue = true };
  PlacementChoice Choose(const PolicyInput& aInput);
};

// Upper bound for any real placement: every runner holds every prompt that was
// ever served, transfers take no time, and queues are known exactly.
struct Clairvoyant
{
  static constexpr PolicyTraits kTraits{ .name = "clairvoyant",
                                         .clairvoyant = true };
  PlacementChoice Choose(const PolicyInput& aInput);
};

} // namespace wigeonwalk::replay
