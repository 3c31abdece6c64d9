#include "returning_prompts/fake_store.h"

namespace wigeonwalk::replay {

namespace {

// Number of groups from which a full tier chooses the one to evict.
constexpr int kEvictionSampleSize = 12;

// Weight of the newest score in the moving average of evicted scores.
constexpr double kNewestWeight = 0.02;

} // namespace

UpstreamId
StoreName(std::uint32_t aZone)
{
  return UpstreamId("store-" + std::to_string(aZone));
}

FakeStores::FakeStores(const Deployment& aDeployment,
                       PieceDirectory& aDirectory,
                       GroupScore aScore)
  : deployment(aDeployment)
  , directory(aDirectory)
  , score(std::move(aScore))
  , groupLists(aDeployment.zones)
  , usedPieces(aDeployment.zones)
{
}

FakeStores::GroupList&
FakeStores::GroupListOf(std::uint32_t aStore, StoreTier aTier)
{
  return this->groupLists[aStore][static_cast<std::size_t>(aTier)];
}

std::uint64_t&
FakeStores::UsedPiecesOf(std::uint32_t aStore, StoreTier aTier)
{
  return this->usedPieces[aStore][static_cast<std::size_t>(aTier)];
}

std::uint64_t
FakeStores::Capacity(StoreTier aTier) const
{
  return aTier == StoreTier::Memory ? this->deployment.storeMemoryPieces
                                    : this->deployment.storeDiskPieces;
}

void
FakeStores::AddToTier(StoredGroup& aGroup)
{
  GroupList& groupList = this->GroupListOf(aGroup.store, aGroup.tier);
  aGroup.slot = groupList.size();
  groupList.push_back({ aGroup.id, aGroup.part });
  this->UsedPiecesOf(aGroup.store, aGroup.tier) += aGroup.pieces;
}

void
FakeStores::RemoveFromTier(StoredGroup& aGroup)
{
  GroupList& groupList = this->GroupListOf(aGroup.store, aGroup.tier);
  groupList[aGroup.slot] = groupList.back();
  this->groups[groupList.back()].slot = aGroup.slot;
  groupList.pop_back();
  this->UsedPiecesOf(aGroup.store, aGroup.tier) -= aGroup.pieces;
}

void
FakeStores::EvictExcess(std::uint32_t aStore, StoreTier aTier, TimePoint aNow)
{
  GroupList& groupList = this->GroupListOf(aStore, aTier);
  while (this->UsedPiecesOf(aStore, aTier) > this->Capacity(aTier) &&
         groupList.size() > 1) {
    StoredGroup* lowest = nullptr;
    double lowestScore = 0;
    for (int i = 0; i < kEvictionSampleSize; ++i) {
      StoredGroup& group =
        this->groups[groupList[this->random() % groupList.size()]];
      const double groupScore = this->score(group, aNow);
      if (lowest == nullptr || groupScore < lowestScore) {
        lowest = &group;
        lowestScore = groupScore;
      }
    }
    double& averageEvictedScore =
      this->averageEvictedScores[static_cast<std::size_t>(aTier)];
    averageEvictedScore += kNewestWeight * (lowestScore - averageEvictedScore);
    this->RemoveFromTier(*lowest);
    if (aTier == StoreTier::Memory) {
      lowest->tier = StoreTier::Disk;
      this->AddToTier(*lowest);
      this->UpdateDirectory(*lowest, true);
      this->EvictExcess(aStore, StoreTier::Disk, aNow);
    } else {
      this->UpdateDirectory(*lowest, false);
      this->groups.erase(GroupKey{ lowest->id, lowest->part });
    }
  }
}

void
FakeStores::UpdateDirectory(const StoredGroup& aGroup, bool aPresent)
{
  if (!aGroup.inDirectory) {
    return;
  }
  for (std::uint32_t i = 0; i < aGroup.pieces; ++i) {
    SealedPiece piece;
    piece.store = StoreName(aGroup.store);
    piece.piece = { aGroup.id, aGroup.first + i };
    // A group only moves from memory to disk. The higher generation makes the
    // directory replace the entry of the copy in memory.
    piece.generation = aGroup.tier == StoreTier::Memory ? 1 : 2;
    piece.tier = aGroup.tier;
    piece.bytes = this->deployment.pieceBytes;
    piece.root = aGroup.root;
    piece.index = aGroup.first + i;
    if (aPresent) {
      this->directory.Record(piece);
    } else {
      this->directory.Remove(piece);
    }
  }
}

void
FakeStores::Put(StoredGroup aGroup, TimePoint aNow)
{
  const GroupKey key{ aGroup.id, aGroup.part };
  const auto found = this->groups.find(key);
  if (found != this->groups.end()) {
    // A group that grows stays on its store host and tier.
    StoredGroup& group = found->second;
    group.lastUse = aNow;
    if (aGroup.pieces > group.pieces) {
      this->UsedPiecesOf(group.store, group.tier) +=
        aGroup.pieces - group.pieces;
      group.pieces = aGroup.pieces;
      this->UpdateDirectory(group, true);
      this->EvictExcess(group.store, group.tier, aNow);
    }
    return;
  }
  aGroup.lastUse = aNow;
  StoredGroup& group = this->groups[key];
  group = aGroup;
  this->AddToTier(group);
  this->UpdateDirectory(group, true);
  this->EvictExcess(aGroup.store, aGroup.tier, aNow);
}

const StoredGroup*
FakeStores::Find(std::uint64_t aId, std::uint32_t aPart) const
{
  const auto group = this->groups.find({ aId, aPart });
  return group == this->groups.end() ? nullptr : &group->second;
}

void
FakeStores::Touch(std::uint64_t aId, TimePoint aNow)
{
  for (std::uint32_t part = 0; part < kMaxParts; ++part) {
    const auto group = this->groups.find({ aId, part });
    if (group != this->groups.end()) {
      group->second.lastUse = aNow;
    }
  }
}

void
FakeStores::ClearStore(std::uint32_t aStore)
{
  for (GroupList& groupList : this->groupLists[aStore]) {
    for (const GroupKey& key : groupList) {
      this->groups.erase(key);
    }
    groupList.clear();
  }
  this->usedPieces[aStore] = {};
}

} // namespace wigeonwalk::replay
