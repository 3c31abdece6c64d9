// Part of Simulation: decides which pieces the store hosts keep, and exports
// them.
#include "returning_prompts/simulation.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk::replay {

using namespace std::chrono_literals;

namespace {

// Time within which a return counts for the value of a piece.
constexpr Duration kHorizon = 24h;

constexpr std::size_t kGapBuckets = 80;

} // namespace

StoredGroup
Simulation::GroupOf(const Arrival& aArrival, bool aArchive) const
{
  StoredGroup group;
  const std::uint64_t archive = kArchiveBit | aArrival.organisation;
  const auto pieces = static_cast<std::uint32_t>(
    (aArrival.tokens + aArrival.answerTokens) / kPieceTokens);
  group.id = aArchive ? archive : aArrival.prompt;
  group.organisation = aArrival.organisation;
  group.first = aArchive ? 0 : aArrival.archivePieces;
  group.pieces =
    aArchive ? aArrival.archivePieces : pieces - aArrival.archivePieces;
  group.root = { aArrival.archivePieces > 0 ? archive : aArrival.prompt, 0 };
  return group;
}

// Returns true for groups that get a second complete copy where there is space:
// archives, and prompts that are not spread over store hosts.
bool
Simulation::IsCopied(const StoredGroup& aGroup) const
{
  return this->traits.retainsByValue &&
         ((aGroup.id & kArchiveBit) != 0 ||
          SpreadParts(this->deployment.placementGoal) == 1);
}

// Divides a group into parts, or repeats it for each copy. Each goes to a
// different store host, the first to that of `aZone`.
std::vector<StoredGroup>
Simulation::PartsOf(const StoredGroup& aGroup, std::uint32_t aZone) const
{
  const bool copied = this->IsCopied(aGroup);
  const std::uint32_t zones = this->deployment.zones;
  std::uint32_t parts = 1;
  if (this->traits.retainsByValue) {
    parts = copied ? 2 : SpreadParts(this->deployment.placementGoal);
  }
  // Parts that are stored already keep their boundaries.
  std::uint32_t divided = aGroup.pieces;
  const StoredGroup* last = this->stores->Find(aGroup.id, parts - 1);
  std::vector<StoredGroup> result;
  for (std::uint32_t i = 0; i < parts; ++i) {
    StoredGroup part = aGroup;
    part.part = i;
    part.store = (aZone + i * (1 + aGroup.id % (zones - 1))) % zones;
    if (!copied) {
      const StoredGroup* known = this->stores->Find(aGroup.id, i);
      const std::uint32_t begin =
        known != nullptr ? known->first
                         : aGroup.first + PartBegin(i, parts, divided);
      const std::uint32_t end = aGroup.first + aGroup.pieces;
      part.first = begin;
      part.pieces = end - begin;
      if (i + 1 < parts) {
        const std::uint32_t next =
          last != nullptr ? last->first
                          : aGroup.first + PartBegin(i + 1, parts, divided);
        part.pieces = next - begin;
      }
    }
    if (part.pieces > 0) {
      result.push_back(part);
    }
  }
  return result;
}

// Returns true if a new part of a group should be stored, and sets its tier.
bool
Simulation::AdmitPart(StoredGroup& aGroup, TimePoint aNow)
{
  if (!this->traits.retainsByValue) {
    return true;
  }
  const PieceValue value = this->ValueOf(aGroup, aNow);
  if (value.otherCopies > 0) {
    aGroup.tier = StoreTier::Disk;
    return this->retention.ShouldReplicate(value, this->CurrentScarcity());
  }
  const auto action =
    this->retention.BeforeEviction(value, this->CurrentScarcity());
  aGroup.tier =
    action == RetentionAction::KeepOnDisk ? StoreTier::Disk : StoreTier::Memory;
  return action != RetentionAction::Drop;
}

Task<void>
Simulation::Export(Daemon& aDaemon, Arrival aArrival, std::uint32_t aZone)
{
  for (const bool archive : { true, false }) {
    StoredGroup group = this->GroupOf(aArrival, archive);
    if (group.pieces == 0) {
      continue;
    }
    for (const StoredGroup& part : this->PartsOf(group, aZone)) {
      co_await this->ExportPart(aDaemon, part, aZone);
    }
  }
}

Task<void>
Simulation::ExportPart(Daemon& aDaemon, StoredGroup aGroup, std::uint32_t aZone)
{
  aGroup.lastUse = this->time.Now();
  const StoredGroup* known = this->stores->Find(aGroup.id, aGroup.part);
  const std::uint32_t held = known != nullptr ? known->pieces : 0;
  if (known != nullptr) {
    aGroup.store = known->store;
    aGroup.tier = known->tier;
  } else if (!this->AdmitPart(aGroup, this->time.Now())) {
    co_return;
  }
  bool stored = !this->links[2 * aGroup.store].broken;
  std::vector<ViewIndex> path{ 2 * aGroup.store +
                               (aGroup.tier == StoreTier::Disk ? 1 : 0) };
  if (aGroup.store != aZone) {
    path.push_back(
      this->zoneLinks[aZone * this->deployment.zones + aGroup.store]);
  }
  const TransferKind kind = (aGroup.id & kArchiveBit) != 0 && aGroup.part > 0
                              ? TransferKind::Replicate
                              : TransferKind::Export;
  for (std::uint32_t i = held; i < aGroup.pieces && stored;) {
    const std::uint32_t batch = std::min(kBatchPieces, aGroup.pieces - i);
    for (const ViewIndex link : path) {
      const bool moved = co_await aDaemon.links[link]->Move(
        kind,
        this->Organisation(aGroup.organisation),
        batch * this->deployment.pieceBytes);
      stored = stored && moved;
    }
    i += batch;
  }
  if (stored) {
    this->stores->Put(aGroup, this->time.Now());
  }
}

void
Simulation::RecordArrival(const Arrival& aArrival)
{
  const ServiceName service("service");
  const OrganisationId& organisation =
    this->Organisation(aArrival.organisation);
  this->returns.NoteServed(service, organisation);
  if (aArrival.gapSeconds >= 0) {
    this->returns.NoteReturn(
      service, organisation, FromSeconds(aArrival.gapSeconds));
  }
  this->stores->Touch(aArrival.prompt, this->time.Now());
  if (aArrival.archivePieces > 0) {
    this->stores->Touch(kArchiveBit | aArrival.organisation, this->time.Now());
  }
}

double
Simulation::ReturnChance(std::uint32_t aOrganisation, double aGapSeconds)
{
  // Bounds of buckets grow by a factor of 2^(1/4).
  const auto bucket = std::min<std::size_t>(
    static_cast<std::size_t>(4 * std::log2(1 + aGapSeconds / 15)),
    kGapBuckets - 1);
  if (this->returnChances.empty() ||
      this->time.Now() >= this->returnChancesClearedAt + 1min) {
    this->returnChancesClearedAt = this->time.Now();
    this->returnChances.assign(this->deployment.organisations.size(),
                               std::vector<double>(kGapBuckets, -1));
  }
  double& chance = this->returnChances[aOrganisation][bucket];
  if (chance < 0) {
    const double gap = 15 * (std::exp2(static_cast<double>(bucket) / 4) - 1);
    chance = this->returns.ChanceWithin(ServiceName("service"),
                                        this->Organisation(aOrganisation),
                                        FromSeconds(gap),
                                        kHorizon);
  }
  return chance;
}

Scarcity
Simulation::CurrentScarcity() const
{
  return { .memoryDensity =
             this->stores->AverageEvictedScore(StoreTier::Memory),
           .diskDensity = this->stores->AverageEvictedScore(StoreTier::Disk) };
}

PieceValue
Simulation::ValueOf(const StoredGroup& aGroup, TimePoint aNow)
{
  const auto bytes = static_cast<double>(this->deployment.pieceBytes);
  return {
    .bytes = this->deployment.pieceBytes,
    .recomputeSeconds = kPieceTokens / this->deployment.prefillTokensPerSecond,
    .memoryReadSeconds = bytes / this->deployment.memoryLinkBytesPerSecond,
    .diskReadSeconds = bytes / this->deployment.diskLinkBytesPerSecond,
    .returnChance =
      this->ReturnChance(aGroup.organisation, ToSeconds(aNow - aGroup.lastUse)),
    .horizon = kHorizon,
    .otherCopies = this->IsCopied(aGroup) && aGroup.part > 0 ? 1u : 0u
  };
}

double
Simulation::RetentionScore(const StoredGroup& aGroup, TimePoint aNow)
{
  if (!this->traits.retainsByValue) {
    return -ToSeconds(aNow - aGroup.lastUse);
  }
  // Archives are evicted last, because every consultation of the organisation
  // reads its archive.
  if ((aGroup.id & kArchiveBit) != 0) {
    return 1e9 - ToSeconds(aNow - aGroup.lastUse);
  }
  const double density =
    this->retention.ValueDensity(this->ValueOf(aGroup, aNow), aGroup.tier);
  if (!this->IsCopied(aGroup)) {
    // A part cannot be used without the parts before it.
    if (aGroup.part > 0 &&
        this->stores->Find(aGroup.id, aGroup.part - 1) == nullptr) {
      return 0;
    }
  }
  return density;
}

} // namespace wigeonwalk::replay
