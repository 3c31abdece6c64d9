#include "returning_prompts/world.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk::replay {

using namespace std::chrono_literals;

namespace {

// Worth is compared by the chance of return within this time.
constexpr Duration kHorizon = 6h;

// Pieces of one transfer.
constexpr std::uint32_t kBatchPieces = 2;

// Organisations' archives have their own keys.
constexpr std::uint64_t kArchiveBit = std::uint64_t{ 1 } << 63;

constexpr std::size_t kGapBuckets = 80;

} // namespace

// Transfers of one restore that have not ended.
struct Batches
{
  explicit Batches(VirtualTime& aTime)
    : done(aTime)
  {
  }

  std::size_t open = 0;
  bool complete = true;
  Signal done;
};

World::World(const Deployment& aDeployment,
             const Trace& aTrace,
             PolicyTraits aTraits,
             Fault aFault)
  : time(aTrace.start)
  , deployment(aDeployment)
  , trace(aTrace)
  , traits(aTraits)
  , fault(aFault)
  , listed(aDeployment.runners, true)
{
  for (std::uint32_t i = 0; i < aDeployment.runners; ++i) {
    this->runners.push_back(
      std::make_unique<FakeRunner>(this->time,
                                   aDeployment.prefillTokensPerSecond,
                                   aDeployment.runnerCachePieces));
    this->time.Spawn(this->runners.back()->Serve());
  }
  this->MakeLinks();
  this->MakeDaemons();
  this->stores = std::make_unique<FakeStores>(
    aDeployment,
    this->directory,
    [this](const StoredGroup& aGroup, TimePoint aNow) {
      return this->Score(aGroup, aNow);
    });
}

// Links 2s and 2s + 1 lead to the memory and disk of zone s's store host; the
// others join zones.
void
World::MakeLinks()
{
  const std::uint32_t zones = this->deployment.zones;
  for (std::uint32_t i = 0; i < zones; ++i) {
    this->links.push_back(
      { .bytesPerSecond = this->deployment.memoryLinkRate });
    this->links.push_back({ .bytesPerSecond = this->deployment.diskLinkRate });
  }
  for (std::uint32_t from = 0; from < zones; ++from) {
    for (std::uint32_t to = 0; to < zones; ++to) {
      this->zoneLinks.push_back(
        from == to ? kNoLink : static_cast<ViewIndex>(this->links.size()));
      if (from != to) {
        this->links.push_back(
          { .bytesPerSecond = this->deployment.zoneLinkRate,
            .latency = FromSeconds(this->deployment.zoneLatencySeconds) });
      }
    }
  }
}

void
World::MakeDaemons()
{
  const double capacity = this->deployment.prefillTokensPerSecond *
                          this->deployment.runners / this->deployment.daemons;
  // Four seconds of the daemon's part of all prefill.
  const FairQueueLimits limits{ .capacity = 4 * capacity };
  for (std::uint32_t i = 0; i < this->deployment.daemons; ++i) {
    auto daemon = std::make_unique<Daemon>(1000 + i, limits);
    daemon->zone = i % this->deployment.zones;
    daemon->loads.resize(this->deployment.runners);
    daemon->resyncing.resize(this->deployment.runners);
    for (const auto& organisation : this->deployment.organisations) {
      daemon->queue.SetWeight(organisation.id, organisation.weight);
    }
    for (FakeLink& link : this->links) {
      const LinkLimits linkLimits{ .bytesPerSecond = link.bytesPerSecond,
                                   .slots = 2 };
      daemon->links.push_back(
        std::make_unique<LinkAccess>(this->time, link, linkLimits));
    }
    this->daemons.push_back(std::move(daemon));
  }
}

const OrganisationId&
World::Organisation(std::uint32_t aOrganisation) const
{
  return this->deployment.organisations[aOrganisation].id;
}

Daemon&
World::DaemonFor(const Arrival& aArrival)
{
  // The balancer chooses a daemon of the caller's zone, and another one where
  // that zone is out.
  std::vector<Daemon*> near;
  std::vector<Daemon*> any;
  for (const auto& daemon : this->daemons) {
    const bool out = this->runners[daemon->zone]->Stopped();
    if (!out) {
      any.push_back(daemon.get());
      if (daemon->zone == aArrival.zone) {
        near.push_back(daemon.get());
      }
    }
  }
  const auto& from = near.empty() ? any : near;
  return *from[this->random() % from.size()];
}

std::vector<PieceKey>
World::ChainOf(const Arrival& aArrival) const
{
  std::vector<PieceKey> chain;
  const std::uint64_t pieces = aArrival.tokens / kPieceTokens;
  for (std::uint64_t i = 0; i < pieces; ++i) {
    const bool archive = i < aArrival.archivePieces;
    chain.push_back(
      { archive ? kArchiveBit | aArrival.organisation : aArrival.prompt, i });
  }
  return chain;
}

std::vector<StoredPiece>
World::StoredPieces(std::span<const PieceKey> aChain)
{
  std::vector<StoredPiece> pieces;
  for (const auto& copies : this->directory.Lookup(aChain)) {
    StoredPiece& stored = pieces.emplace_back();
    for (const PieceCopy& copy : copies) {
      const auto zone = static_cast<ViewIndex>(
        std::stoul(copy.piece.store.Text().substr(std::size("store-") - 1)));
      const ViewIndex disk = copy.piece.tier == StoreTier::Disk ? 1 : 0;
      stored.Add({ 2 * zone + disk, zone, copy.weight, copy.piece.bytes });
    }
  }
  return pieces;
}

Task<void>
World::MoveBatch(Daemon& aDaemon,
                 OrganisationId aOrganisation,
                 std::vector<ViewIndex> aPath,
                 std::uint64_t aBytes,
                 std::shared_ptr<Batches> aBatches)
{
  for (const ViewIndex link : aPath) {
    const bool moved = co_await aDaemon.links[link]->Move(
      TransferKind::CallerRestore, aOrganisation, aBytes);
    aBatches->complete = aBatches->complete && moved;
  }
  if (--aBatches->open == 0) {
    aBatches->done.Notify();
  }
}

Task<bool>
World::Restore(Daemon& aDaemon,
               const Arrival& aArrival,
               std::vector<StoredCopy> aPieces,
               std::uint32_t aRunnerZone)
{
  auto batches = std::make_shared<Batches>(this->time);
  std::stable_sort(
    aPieces.begin(), aPieces.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.link < aRight.link;
    });
  for (std::size_t i = 0; i < aPieces.size();) {
    const StoredCopy& first = aPieces[i];
    std::uint64_t bytes = 0;
    std::uint32_t pieces = 0;
    while (i < aPieces.size() && pieces < kBatchPieces &&
           aPieces[i].link == first.link) {
      bytes += aPieces[i].bytes;
      ++pieces;
      ++i;
    }
    std::vector<ViewIndex> path{ first.link };
    if (first.zone != aRunnerZone) {
      path.push_back(
        this->zoneLinks[first.zone * this->deployment.zones + aRunnerZone]);
    }
    ++batches->open;
    this->time.Spawn(this->MoveBatch(aDaemon,
                                     this->Organisation(aArrival.organisation),
                                     std::move(path),
                                     bytes,
                                     batches));
  }
  if (batches->open > 0) {
    co_await batches->done.Wait();
  }
  if (!batches->complete) {
    for (const StoredCopy& piece : aPieces) {
      if (this->links[piece.link].broken) {
        this->directory.Forget(StoreName(piece.zone));
      }
    }
  }
  co_return batches->complete;
}

StoredGroup
World::GroupOf(const Arrival& aArrival, bool aArchive) const
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

// True for groups that have two whole copies where there is room: archives, and
// prompts that are not spread.
bool
World::IsCopied(const StoredGroup& aGroup) const
{
  return this->traits.keepsByWorth &&
         ((aGroup.id & kArchiveBit) != 0 ||
          SpreadParts(this->deployment.weighing) == 1);
}

// Divides a group into the parts that go to different store hosts, beginning
// with that of a zone; or repeats it for each copy.
std::vector<StoredGroup>
World::PartsOf(const StoredGroup& aGroup, std::uint32_t aZone) const
{
  const bool copied = this->IsCopied(aGroup);
  const std::uint32_t zones = this->deployment.zones;
  std::uint32_t parts = 1;
  if (this->traits.keepsByWorth) {
    parts = copied ? 2 : SpreadParts(this->deployment.weighing);
  }
  // Parts that exist keep their borders.
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

// Decides whether a new part of a group is stored, and in which tier.
bool
World::Accept(StoredGroup& aGroup, TimePoint aNow)
{
  if (!this->traits.keepsByWorth) {
    return true;
  }
  const PieceValue value = this->ValueOf(aGroup, aNow);
  if (value.otherCopies > 0) {
    aGroup.tier = StoreTier::Disk;
    return this->retention.ShouldReplicate(value, this->ScarcityNow());
  }
  const auto action =
    this->retention.BeforeEviction(value, this->ScarcityNow());
  aGroup.tier =
    action == RetentionAction::KeepOnDisk ? StoreTier::Disk : StoreTier::Memory;
  return action != RetentionAction::Drop;
}

Task<void>
World::Export(Daemon& aDaemon, Arrival aArrival, std::uint32_t aZone)
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
World::ExportPart(Daemon& aDaemon, StoredGroup aGroup, std::uint32_t aZone)
{
  aGroup.lastUse = this->time.Now();
  const StoredGroup* known = this->stores->Find(aGroup.id, aGroup.part);
  const std::uint32_t held = known != nullptr ? known->pieces : 0;
  if (known != nullptr) {
    aGroup.store = known->store;
    aGroup.tier = known->tier;
  } else if (!this->Accept(aGroup, this->time.Now())) {
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
World::NoteArrival(const Arrival& aArrival)
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
World::Chance(std::uint32_t aOrganisation, double aGapSeconds)
{
  // Buckets of the gap grow by a quarter of a doubling.
  const auto bucket = std::min<std::size_t>(
    static_cast<std::size_t>(4 * std::log2(1 + aGapSeconds / 15)),
    kGapBuckets - 1);
  if (this->chances.empty() || this->time.Now() >= this->chancesAt + 1min) {
    this->chancesAt = this->time.Now();
    this->chances.assign(this->deployment.organisations.size(),
                         std::vector<double>(kGapBuckets, -1));
  }
  double& chance = this->chances[aOrganisation][bucket];
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
World::ScarcityNow() const
{
  return { .memoryDensity = this->stores->MarginalScore(StoreTier::Memory),
           .diskDensity = this->stores->MarginalScore(StoreTier::Disk) };
}

PieceValue
World::ValueOf(const StoredGroup& aGroup, TimePoint aNow)
{
  const auto bytes = static_cast<double>(this->deployment.pieceBytes);
  return { .bytes = this->deployment.pieceBytes,
           .recomputeSeconds =
             kPieceTokens / this->deployment.prefillTokensPerSecond,
           .memoryReadSeconds = bytes / this->deployment.memoryLinkRate,
           .diskReadSeconds = bytes / this->deployment.diskLinkRate,
           .returnChance = this->Chance(aGroup.organisation,
                                        ToSeconds(aNow - aGroup.lastUse)),
           .horizon = kHorizon,
           .otherCopies = this->IsCopied(aGroup) && aGroup.part > 0 ? 1u : 0u };
}

double
World::Score(const StoredGroup& aGroup, TimePoint aNow)
{
  if (!this->traits.keepsByWorth) {
    return -ToSeconds(aNow - aGroup.lastUse);
  }
  // An archive is read by every consultation of its organisation.
  if ((aGroup.id & kArchiveBit) != 0) {
    return 1e9 - ToSeconds(aNow - aGroup.lastUse);
  }
  return this->retention.Density(this->ValueOf(aGroup, aNow), aGroup.tier);
}

} // namespace wigeonwalk::replay
