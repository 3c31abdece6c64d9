// To whom a daemon pushes a newly learned document.
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

// Random live members: some of the own zone, where links are cheap, and some of
// other zones. Each zone has two watchers, so few pushes need to cross zones.
struct ZoneFanOut
{
  std::size_t inZone = 2;
  std::size_t elsewhere = 1;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// Random live members wherever they are.
struct RandomFanOut
{
  std::size_t count = 3;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// The children of this daemon in a tree over all live members in order of
// host. Weighed in docs/decisions/documents.md, not used by the daemon.
struct RelayTree
{
  std::size_t fanOut = 3;

  std::vector<MemberUpdate> Choose(const MemberTable& aTable,
                                   std::mt19937_64& aRandom) const;
};

// Pushes to nobody: digests on probes alone spread documents.
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
