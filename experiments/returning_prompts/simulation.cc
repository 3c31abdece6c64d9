#include "returning_prompts/simulation.h"

#include <algorithm>

namespace wigeonwalk::replay {

// Progress of the transfers of one restore.
struct PendingTransfers
{
  explicit PendingTransfers(VirtualTime& aTime)
    : done(aTime)
  {
  }

  std::size_t open = 0;
  bool complete = true;
  Signal done;
};

Simulation::Simulation(const Deployment& aDeployment,
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
      return this->RetentionScore(aGroup, aNow);
    });
}

// Links 2z and 2z + 1 lead to the memory and the disk of zone z's store host;
// the others connect zones.
void
Simulation::MakeLinks()
{
  const std::uint32_t zones = this->deployment.zones;
  for (std::uint32_t i = 0; i < zones; ++i) {
    this->links.push_back(
      { .bytesPerSecond = this->deployment.memoryLinkBytesPerSecond });
    this->links.push_back(
      { .bytesPerSecond = this->deployment.diskLinkBytesPerSecond });
  }
  for (std::uint32_t from = 0; from < zones; ++from) {
    for (std::uint32_t to = 0; to < zones; ++to) {
      this->zoneLinks.push_back(
        from == to ? kNoLink : static_cast<ViewIndex>(this->links.size()));
      if (from != to) {
        this->links.push_back(
          { .bytesPerSecond = this->deployment.zoneLinkBytesPerSecond,
            .latency = FromSeconds(this->deployment.zoneLatencySeconds) });
      }
    }
  }
}

void
Simulation::MakeDaemons()
{
  const double capacity = this->deployment.prefillTokensPerSecond *
                          this->deployment.runners / this->deployment.daemons;
  // Four seconds of the daemon's share of the total prefill rate.
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
Simulation::Organisation(std::uint32_t aOrganisation) const
{
  return this->deployment.organisations[aOrganisation].id;
}

Daemon&
Simulation::DaemonFor(const Arrival& aArrival)
{
  // The load balancer chooses a daemon in the caller's zone, or in any other
  // zone if that zone has failed.
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
Simulation::ChainOf(const Arrival& aArrival) const
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
Simulation::StoredPieces(std::span<const PieceKey> aChain)
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
Simulation::MoveBatch(Daemon& aDaemon,
                      OrganisationId aOrganisation,
                      std::vector<ViewIndex> aPath,
                      std::uint64_t aBytes,
                      std::shared_ptr<PendingTransfers> aPending)
{
  for (const ViewIndex link : aPath) {
    const bool moved = co_await aDaemon.links[link]->Move(
      TransferKind::CallerRestore, aOrganisation, aBytes);
    aPending->complete = aPending->complete && moved;
  }
  if (--aPending->open == 0) {
    aPending->done.Notify();
  }
}

Task<bool>
Simulation::Restore(Daemon& aDaemon,
                    const Arrival& aArrival,
                    std::vector<StoredCopy> aPieces,
                    std::uint32_t aRunnerZone)
{
  auto pending = std::make_shared<PendingTransfers>(this->time);
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
    ++pending->open;
    this->time.Spawn(this->MoveBatch(aDaemon,
                                     this->Organisation(aArrival.organisation),
                                     std::move(path),
                                     bytes,
                                     pending));
  }
  if (pending->open > 0) {
    co_await pending->done.Wait();
  }
  if (!pending->complete) {
    for (const StoredCopy& piece : aPieces) {
      if (this->links[piece.link].broken) {
        this->directory.Forget(StoreName(piece.zone));
      }
    }
  }
  co_return pending->complete;
}

} // namespace wigeonwalk::replay
