// Fake store hosts, which keep groups of pieces in memory and on disk.
//
// A group holds the pieces of one prompt after its archive, or one archive.
// Only groups of prompts that return within the trace are recorded in the
// directory; the others just take up space.
//
//   FakeStores stores(deployment, directory, score);
//   stores.Put(group, now);
//   const StoredGroup* found = stores.Find(group.id, group.part);
#pragma once

#include "returning_prompts/trace.h"
#include "wigeonwalk/cache/piece_directory.h"

#include <array>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace wigeonwalk::replay {

// Pieces [first, first + pieces) of the chains whose keys have `id` as their
// upper half.
struct StoredGroup
{
  std::uint64_t id = 0;
  // Index of the part of a prompt, or of the copy of an archive. Each is on a
  // different store host.
  std::uint32_t part = 0;
  PieceKey root;
  std::uint32_t organisation = 0;
  std::uint32_t first = 0;
  std::uint32_t pieces = 0;
  std::uint32_t store = 0;
  StoreTier tier = StoreTier::Memory;
  TimePoint lastUse;
  // Position in the list of groups of its store and tier.
  std::size_t slot = 0;
  bool inDirectory = true;
};

// Maximum number of parts of one group.
inline constexpr std::uint32_t kMaxParts = 4;

// Returns the score of a group. A full tier evicts the group with the lowest
// score of a sample.
using GroupScore = std::function<double(const StoredGroup&, TimePoint)>;

class FakeStores
{
public:
  FakeStores(const Deployment& aDeployment,
             PieceDirectory& aDirectory,
             GroupScore aScore);

  // Stores a group, or extends the stored one to `aGroup.pieces`. Then a full
  // memory tier demotes groups to disk, and a full disk tier drops them.
  void Put(StoredGroup aGroup, TimePoint aNow);

  // Returns a part of a group, or nullptr.
  const StoredGroup* Find(std::uint64_t aId, std::uint32_t aPart) const;
  void Touch(std::uint64_t aId, TimePoint aNow);

  // Removes all groups of a store host, but not their directory entries.
  void ClearStore(std::uint32_t aStore);

  // Returns the moving average of the scores of the groups that a tier evicted;
  // zero while nothing was evicted.
  double AverageEvictedScore(StoreTier aTier) const
  {
    return this->averageEvictedScores[static_cast<std::size_t>(aTier)];
  }

private:
  // Id and part of a group.
  using GroupKey = Hash128;
  using GroupList = std::vector<GroupKey>;

  GroupList& GroupListOf(std::uint32_t aStore, StoreTier aTier);
  std::uint64_t& UsedPiecesOf(std::uint32_t aStore, StoreTier aTier);
  std::uint64_t Capacity(StoreTier aTier) const;
  void AddToTier(StoredGroup& aGroup);
  void RemoveFromTier(StoredGroup& aGroup);
  void EvictExcess(std::uint32_t aStore, StoreTier aTier, TimePoint aNow);
  void UpdateDirectory(const StoredGroup& aGroup, bool aPresent);

  const Deployment& deployment;
  PieceDirectory& directory;
  GroupScore score;
  std::mt19937_64 random{ 99 };
  std::unordered_map<GroupKey, StoredGroup> groups;
  std::vector<std::array<GroupList, 2>> groupLists;
  std::vector<std::array<std::uint64_t, 2>> usedPieces;
  std::array<double, 2> averageEvictedScores{};
};

// Returns the name of a zone's store host.
UpstreamId
StoreName(std::uint32_t aZone);

} // namespace wigeonwalk::replay
