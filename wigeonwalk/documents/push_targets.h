// Strategies for choosing the members to which a daemon pushes new documents.
//
//   ZoneFanOut targets;
//   for (const MemberUpdate& to : targets.Choose(table, random)) { ... }
#pragma once

#include "wigeonwalk/membership/member_table.h"

#include <concepts>
#include <random>
#include <vector>

namespace wigeonwalk {

// Chooses the members that a daemon pushes to when it learns of a document.
template<typename T>
concept PushTargets = requires(T& aTargets,
                               const MemberTable& aTable,
                               std::mt19937_64& aRandom)
{
  {
    aTargets.Choose(aTable, aRandom)
    } -> std::same_as<std::vector<MemberUpdate>>;
};

// Random live members: some in the daemon's own zone, where links are cheap,
// and some in other zones. Each zone has two watchers, so few pushes must cross
// zones.
struct ZoneFanOut
{
  std::size_t sameZoneCount = 2;
  std::size_t otherZonesCount = 1;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// Random live members of all zones.
struct RandomFanOut
{
  std::size_t count = 3;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// The children of this daemon in a tree of all live members, ordered by host.
// Only for comparison in docs/decisions/documents.md; the daemon does not use
// it.
struct RelayTree
{
  std::size_t fanOut = 3;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// No pushes: documents spread only by digests on probes.
struct NoPush
{
  std::vector<MemberUpdate> Choose(const MemberTable&, std::mt19937_64&) const
  {
    return {};
  }
};

static_assert(PushTargets<ZoneFanOut> && PushTargets<RandomFanOut> &&
              PushTargets<RelayTree> && PushTargets<NoPush>);

} // namespace wigeonwalk
