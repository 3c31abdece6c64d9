// The fakes of one replay and what each daemon knows of them.
#pragma once

#include "returning_prompts/fake_link.h"
#include "returning_prompts/fake_runner.h"
#include "returning_prompts/fake_store.h"
#include "returning_prompts/metrics.h"
#include "wigeonwalk/cache/engine_cache_tracker.h"
#include "wigeonwalk/cache/retention.h"
#include "wigeonwalk/cache/return_model.h"
#include "wigeonwalk/placement/fair_queue.h"
#include "wigeonwalk/placement/load_estimate.h"
#include "wigeonwalk/placement/placement.h"

#include <deque>

namespace wigeonwalk::replay {

// Time after the trace in which open requests may end.
inline constexpr Duration kDrainTime = std::chrono::minutes(10);

// Pieces of one transfer.
inline constexpr std::uint32_t kBatchPieces = 2;

// Organisations' archives have their own keys.
inline constexpr std::uint64_t kArchiveBit = std::uint64_t{ 1 } << 63;

// What fails at one third of the measured time.
enum class Fault
{
  None,
  StoreLost,
  SlowLink,
  LateEvents,
  ZoneOut,
};

// What a policy makes use of.
struct PolicyTraits
{
  const char* name;
  // Exports to store hosts and may restore from them.
  bool restores = false;
  // Keeps pieces by their worth instead of by their last use, spreads prompts
  // over store hosts and copies archives to a second one.
  bool keepsByWorth = false;
  // Puts requests through the fair queue.
  bool fairQueue = false;
  // Runners keep no prompt.
  bool recomputes = false;
  // Every runner holds every prompt, and queues are known exactly.
  bool clairvoyant = false;
};

// One daemon's own knowledge.
struct Daemon
{
  explicit Daemon(std::uint64_t aSeed, FairQueueLimits aLimits)
    : random(aSeed)
    , queue(aLimits)
  {
  }

  std::uint32_t zone = 0;
  std::mt19937_64 random;
  std::vector<LoadEstimate> loads;
  EngineCacheTracker tracker{ 4096 };
  std::vector<std::unique_ptr<LinkAccess>> links;
  std::vector<bool> resyncing;
  FairQueue<std::shared_ptr<Signal>> queue;
};

// Runner chosen for a request, with the pieces to restore.
struct Choice
{
  std::uint32_t runner = 0;
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  // Copies to read, one for each piece to restore.
  std::vector<StoredCopy> sources;
};

class World
{
public:
  World(const Deployment& aDeployment,
        const Trace& aTrace,
        PolicyTraits aTraits,
        Fault aFault);

  // Tasks: load reports and cache events; the fault.
  Task<void> Report();
  Task<void> Fail();

  // Fills the store hosts with what was served before the trace.
  void Prime();

  std::vector<PieceKey> ChainOf(const Arrival& aArrival) const;

  // Best known copies of the leading pieces of a chain.
  std::vector<StoredPiece> StoredPieces(std::span<const PieceKey> aChain);

  Daemon& DaemonFor(const Arrival& aArrival);
  const OrganisationId& Organisation(std::uint32_t aOrganisation) const;

  // Moves pieces to a runner. Returns false where a store host failed; its
  // entries are then dropped.
  Task<bool> Restore(Daemon& aDaemon,
                     const Arrival& aArrival,
                     std::vector<StoredCopy> aPieces,
                     std::uint32_t aRunnerZone);

  // Stores what a runner computed.
  Task<void> Export(Daemon& aDaemon, Arrival aArrival, std::uint32_t aZone);

  // Stores the missing pieces of one part of a group.
  Task<void> ExportPart(Daemon& aDaemon,
                        StoredGroup aGroup,
                        std::uint32_t aZone);

  // Learns from an arrival.
  void NoteArrival(const Arrival& aArrival);

  // Starts what the daemon's fair queue lets through.
  void PumpQueue(Daemon& aDaemon);

  std::uint32_t RunnerZone(std::uint32_t aRunner) const
  {
    return aRunner % this->deployment.zones;
  }
  UpstreamId RunnerName(std::uint32_t aRunner) const
  {
    return UpstreamId("runner-" + std::to_string(aRunner));
  }

  // Opens the outcome of a measured request; it counts as unserved until it is
  // closed. Requests of the warm-up have none.
  std::optional<std::size_t> OpenOutcome(const Arrival& aArrival);
  void CloseOutcome(std::optional<std::size_t> aOutcome,
                    const Arrival& aArrival,
                    const Job& aJob,
                    TimePoint aFirstToken);

  // Use of links and runners since the start.
  Figures Use() const;

  // Declared first, so that it outlives the tasks' objects.
  VirtualTime time;
  const Deployment& deployment;
  const Trace& trace;
  PolicyTraits traits;
  Fault fault;
  std::vector<std::unique_ptr<FakeRunner>> runners;
  // False once the host list no longer shows a runner.
  std::vector<bool> listed;
  std::vector<FakeLink> links;
  std::vector<ViewIndex> zoneLinks;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Outcome> outcomes;

private:
  struct Late
  {
    TimePoint due;
    std::uint32_t runner = 0;
    // Only this daemon, or all of them.
    std::optional<std::uint32_t> daemon;
    CacheEventBatch batch;
    std::uint64_t listSequence = 0;
  };

  void MakeLinks();
  void MakeDaemons();
  void CollectEvents();
  void DeliverEvents();
  void DeliverTo(std::uint32_t aDaemon, const Late& aLate);
  Task<void> MoveBatch(Daemon& aDaemon,
                       OrganisationId aOrganisation,
                       std::vector<ViewIndex> aPath,
                       std::uint64_t aBytes,
                       std::shared_ptr<struct Batches> aBatches);
  double Score(const StoredGroup& aGroup, TimePoint aNow);
  bool IsCopied(const StoredGroup& aGroup) const;
  std::vector<StoredGroup> PartsOf(const StoredGroup& aGroup,
                                   std::uint32_t aZone) const;
  bool Accept(StoredGroup& aGroup, TimePoint aNow);
  PieceValue ValueOf(const StoredGroup& aGroup, TimePoint aNow);
  Scarcity ScarcityNow() const;
  double Chance(std::uint32_t aOrganisation, double aGapSeconds);
  StoredGroup GroupOf(const Arrival& aArrival, bool aArchive) const;
  Duration EventDelay() const;

  PieceDirectory directory{ 4'000'000 };
  ReturnModel returns;
  Retention retention{ RetentionPrices{} };
  std::unique_ptr<FakeStores> stores;
  std::deque<Late> late;
  std::mt19937_64 random{ 7 };
  // Chances by organisation and gap, computed once a virtual minute.
  std::vector<std::vector<double>> chances;
  TimePoint chancesAt;
};

} // namespace wigeonwalk::replay
