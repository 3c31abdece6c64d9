#include "returning_prompts/fake_store.h"

namespace wigeonwalk::replay {

namespace {

// Number of groups from which a full tier chooses the one to evict.
constexpr int kSample = 12;

// Weight of the newest score in the moving average of evicted scores.
constexpr double kNewestWeight = 0.02;

} // namespace

UpstreamId
StoreName(std::uint32_t aStore)
{
  return UpstreamId("store-" + std::to_string(aStore));
}

FakeStores::FakeStores(const Deployment& aDeployment,
                       PieceDirectory& aDirectory,
                       GroupScore aScore)
  : deployment(aDeployment)
  , directory(aDirectory)
  , score(std::move(aScore))
  , shelves(aDeployment.zones)
  , used(aDeployment.zones)
{
}

FakeStores::Shelf&
FakeStores::ShelfOf(std::uint32_t aStore, StoreTier aTier)
{
  return this->shelves[aStore][static_cast<std::size_t>(aTier)];
}

std::uint64_t&
FakeStores::UsedOf(std::uint32_t aStore, StoreTier aTier)
{
  return this->used[aStore][static_cast<std::size_t>(aTier)];
}

std::uint64_t
FakeStores::Capacity(StoreTier aTier) const
{
  return aTier == StoreTier::Memory ? this->deployment.storeMemoryPieces
                                    : this->deployment.storeDiskPieces;
}

void
FakeStores::Place(StoredGroup& aGroup)
{
  Shelf& shelf = this->ShelfOf(aGroup.store, aGroup.tier);
  aGroup.slot = shelf.size();
  shelf.push_back({ aGroup.id, aGroup.part });
  this->UsedOf(aGroup.store, aGroup.tier) += aGroup.pieces;
}

void
FakeStores::Unplace(StoredGroup& aGroup)
{
  Shelf& shelf = this->ShelfOf(aGroup.store, aGroup.tier);
  shelf[aGroup.slot] = shelf.back();
  this->groups[shelf.back()].slot = aGroup.slot;
  shelf.pop_back();
  this->UsedOf(aGroup.store, aGroup.tier) -= aGroup.pieces;
}

void
FakeStores::MakeRoom(std::uint32_t aStore, StoreTier aTier, TimePoint aNow)
{
  Shelf& shelf = this->ShelfOf(aStore, aTier);
  while (this->UsedOf(aStore, aTier) > this->Capacity(aTier) &&
         shelf.size() > 1) {
    StoredGroup* lowest = nullptr;
    double lowestScore = 0;
    for (int i = 0; i < kSample; ++i) {
      StoredGroup& group = this->groups[shelf[this->random() % shelf.size()]];
      const double groupScore = this->score(group, aNow);
      if (lowest == nullptr || groupScore < lowestScore) {
        lowest = &group;
        lowestScore = groupScore;
      }
    }
    double& marginalScore = this->marginal[static_cast<std::size_t>(aTier)];
    marginalScore += kNewestWeight * (lowestScore - marginalScore);
    this->Unplace(*lowest);
    if (aTier == StoreTier::Memory) {
      lowest->tier = StoreTier::Disk;
      this->Place(*lowest);
      this->List(*lowest, true);
      this->MakeRoom(aStore, StoreTier::Disk, aNow);
    } else {
      this->List(*lowest, false);
      this->groups.erase(GroupKey{ lowest->id, lowest->part });
    }
  }
}

void
FakeStores::List(const StoredGroup& aGroup, bool aPresent)
{
  if (!aGroup.listed) {
    return;
  }
  for (std::uint32_t i = 0; i < aGroup.pieces; ++i) {
    SealedPiece piece;
    piece.store = StoreName(aGroup.store);
    piece.piece = { aGroup.id, aGroup.first + i };
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
  const auto known = this->groups.find(key);
  if (known != this->groups.end()) {
    // A group that grows stays on its store host and tier.
    StoredGroup& group = known->second;
    group.lastUse = aNow;
    if (aGroup.pieces > group.pieces) {
      this->UsedOf(group.store, group.tier) += aGroup.pieces - group.pieces;
      group.pieces = aGroup.pieces;
      this->List(group, true);
      this->MakeRoom(group.store, group.tier, aNow);
    }
    return;
  }
  aGroup.lastUse = aNow;
  StoredGroup& group = this->groups[key];
  group = aGroup;
  this->Place(group);
  this->List(group, true);
  this->MakeRoom(aGroup.store, aGroup.tier, aNow);
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
FakeStores::Lose(std::uint32_t aStore)
{
  for (Shelf& shelf : this->shelves[aStore]) {
    for (const GroupKey& key : shelf) {
      this->groups.erase(key);
    }
    shelf.clear();
  }
  this->used[aStore] = {};
}

} // namespace wigeonwalk::replay
