// Placement policies that the replay compares.
//
// A policy has `kTraits` and Choose, which uses only what its daemon knows.
//
//   Choice choice = policy.Choose(sight);
#pragma once

#include "returning_prompts/world.h"

#include <concepts>

namespace wigeonwalk::replay {

// Input of a policy for one request.
struct Sight
{
  World& world;
  Daemon& daemon;
  const Arrival& arrival;
  std::span<const PieceKey> chain;
  std::span<const StoredPiece> stored;
};

template<typename P>
concept Policy = requires(P& aPolicy, const Sight& aSight)
{
  {
    P::kTraits
    } -> std::convertible_to<PolicyTraits>;
  {
    aPolicy.Choose(aSight)
    } -> std::same_as<Choice>;
};

// Returns the runner with the shortest queue as estimated by the daemon.
// Ignores caches.
std::uint32_t
LeastLoaded(const Sight& aSight);

struct RandomRunner
{
  static constexpr PolicyTraits kTraits{ .name = "random" };
  Choice Choose(const Sight& aSight);
};

struct RoundRobin
{
  static constexpr PolicyTraits kTraits{ .name = "round-robin" };
  Choice Choose(const Sight& aSight);
  std::uint32_t next = 0;
};

struct LeastLoadedRunner
{
  static constexpr PolicyTraits kTraits{ .name = "least-loaded" };
  Choice Choose(const Sight& aSight);
};

// Chooses the runner with the longest cached prefix, however long its queue is,
// or one by hash of the first piece if no runner holds a prefix.
struct PrefixAffinity
{
  static constexpr PolicyTraits kTraits{ .name = "prefix-affinity" };
  Choice Choose(const Sight& aSight);
};

// Recomputes every prompt from its beginning.
struct AlwaysRecompute
{
  static constexpr PolicyTraits kTraits{ .name = "always-recompute",
                                         .recomputes = true };
  Choice Choose(const Sight& aSight);
};

// Restores every stored piece on the least loaded runner.
struct AlwaysRestore
{
  static constexpr PolicyTraits kTraits{ .name = "always-restore",
                                         .restores = true };
  Choice Choose(const Sight& aSight);
};

// Uses the product's placement code.
struct Wigeonwalk
{
  static constexpr PolicyTraits kTraits{ .name = "wigeonwalk",
                                         .restores = true,
                                         .keepsByWorth = true,
                                         .shortFirst = true,
                                         .fairQueue = true };
  Choice Choose(const Sight& aSight);
};

// Upper bound for any real placement: every runner holds every prompt that was
// ever served, transfers take no time, and queues are known exactly.
struct Clairvoyant
{
  static constexpr PolicyTraits kTraits{ .name = "clairvoyant",
                                         .clairvoyant = true };
  Choice Choose(const Sight& aSight);
};

} // namespace wigeonwalk::replay
