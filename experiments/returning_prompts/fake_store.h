// Fake store hosts: memory and disk for groups of pieces.
//
// A group is the pieces of one prompt after its archive, or one archive. Groups
// of prompts that do not return within the trace only take space; those that do
// are listed in the directory.
#pragma once

#include "returning_prompts/trace.h"
#include "wigeonwalk/cache/piece_directory.h"

#include <array>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace wigeonwalk::replay {

// Pieces [first, first + pieces) of chains with this key's upper half.
struct StoredGroup
{
  std::uint64_t id = 0;
  // Part of the prompt, or copy of the archive, on a store host of its own.
  std::uint32_t part = 0;
  PieceKey root;
  std::uint32_t organisation = 0;
  std::uint32_t first = 0;
  std::uint32_t pieces = 0;
  std::uint32_t store = 0;
  StoreTier tier = StoreTier::Memory;
  TimePoint lastUse;
  // Position among the groups of its store and tier.
  std::size_t slot = 0;
  bool listed = true;
};

// Parts of one group.
inline constexpr std::uint32_t kMaxParts = 4;

// Score of a group; the lowest of a sample leaves a full tier.
using GroupScore = std::function<double(const StoredGroup&, TimePoint)>;

class FakeStores
{
public:
  FakeStores(const Deployment& aDeployment,
             PieceDirectory& aDirectory,
             GroupScore aScore);

  // Stores the pieces of a group up to `aPieces`, and returns where it is.
  // A full tier demotes or drops others first.
  void Put(StoredGroup aGroup, TimePoint aNow);

  // Returns a part of a group, or nothing.
  const StoredGroup* Find(std::uint64_t aId, std::uint32_t aPart) const;
  void Touch(std::uint64_t aId, TimePoint aNow);

  // Empties a store host. The directory is not told.
  void Lose(std::uint32_t aStore);

  // Moving average of the scores that left a tier; zero while it has room.
  double MarginalScore(StoreTier aTier) const
  {
    return this->marginal[static_cast<std::size_t>(aTier)];
  }

private:
  // Identity and part of a group.
  using GroupKey = Hash128;
  using Shelf = std::vector<GroupKey>;

  Shelf& ShelfOf(std::uint32_t aStore, StoreTier aTier);
  std::uint64_t& UsedOf(std::uint32_t aStore, StoreTier aTier);
  std::uint64_t Capacity(StoreTier aTier) const;
  void Place(StoredGroup& aGroup);
  void Unplace(StoredGroup& aGroup);
  void MakeRoom(std::uint32_t aStore, StoreTier aTier, TimePoint aNow);
  void List(const StoredGroup& aGroup, bool aPresent);

  const Deployment& deployment;
  PieceDirectory& directory;
  GroupScore score;
  std::mt19937_64 random{ 99 };
  std::unordered_map<GroupKey, StoredGroup> groups;
  std::vector<std::array<Shelf, 2>> shelves;
  std::vector<std::array<std::uint64_t, 2>> used;
  std::array<double, 2> marginal{};
};

// Name of a zone's store host.
UpstreamId
StoreName(std::uint32_t aStore);

} // namespace wigeonwalk::replay
