// The ways of placing a request that the replay compares.
//
// A policy has `kTraits` and Choose, which sees only what its daemon knows.
#pragma once

#include "returning_prompts/world.h"

#include <concepts>

namespace wigeonwalk::replay {

// What a policy sees of one request.
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

// Runner with the shortest queue by the last reports alone.
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

// The runner with the longest cached prefix, however long its queue; a runner
// by hash where none has any.
struct PrefixAffinity
{
  static constexpr PolicyTraits kTraits{ .name = "prefix-affinity" };
  Choice Choose(const Sight& aSight);
};

// Computes every prompt from its beginning.
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

// The product's decision code.
struct Wigeonwalk
{
  static constexpr PolicyTraits kTraits{ .name = "wigeonwalk",
                                         .restores = true,
                                         .keepsByWorth = true,
                                         .fairQueue = true };
  Choice Choose(const Sight& aSight);
};

// No real placement does better: every runner holds every prompt that was ever
// served, no link takes time, and queues are known exactly.
struct Clairvoyant
{
  static constexpr PolicyTraits kTraits{ .name = "clairvoyant",
                                         .clairvoyant = true };
  Choice Choose(const Sight& aSight);
};

} // namespace wigeonwalk::replay
