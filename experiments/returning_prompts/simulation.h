// The simulated runners, links and store hosts of one replay, and what each
// daemon knows of them.
//
//   Simulation simulation(deployment, trace, Wigeonwalk::kTraits, Fault::None);
//   simulation.LoadHistory();
//   simulation.time.Spawn(simulation.RunReports());
//   simulation.time.RunUntil(trace.end);
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

// Time after the trace in which open requests may finish.
inline constexpr Duration kDrainTime = std::chrono::minutes(10);

// Maximum number of pieces in one transfer.
inline constexpr std::uint32_t kBatchPieces = 2;

// Set in the keys of organisations' archives, to distinguish them from prompts.
inline constexpr std::uint64_t kArchiveBit = std::uint64_t{ 1 } << 63;

// Fault that begins after one third of the measured time.
enum class Fault
{
  None,
  StoreLost,
  SlowLink,
  LateEvents,
  ZoneOut,
};

// Mechanisms that a policy uses.
struct PolicyTraits
{
  const char* name;
  // Exports pieces to store hosts and may restore from them.
  bool restores = false;
  // Store hosts retain pieces by value instead of by last use. Prompts are
  // spread over store hosts, and archives are copied to a second one.
  bool retainsByValue = false;
  // Runners prefill short prompts first.
  bool shortPrefillsFirst = false;
  // Requests pass through the fair queue.
  bool fairQueue = false;
  // Runners cache no prompts.
  bool recomputes = false;
  // Every runner holds every prompt, and queues are known exactly.
  bool clairvoyant = false;
};

// State of one daemon.
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
struct PlacementChoice
{
  std::uint32_t runner = 0;
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  // Copies to read, one for each piece to restore.
  std::vector<StoredCopy> sources;
};

class Simulation
{
public:
  Simulation(const Deployment& aDeployment,
             const Trace& aTrace,
             PolicyTraits aTraits,
             Fault aFault);

  // Coroutines to spawn: RunReports delivers load reports and cache events,
  // and InjectFault injects the fault.
  Task<void> RunReports();
  Task<void> InjectFault();

  // Fills the store hosts and the return model from the prompts served before
  // the trace.
  void LoadHistory();

  std::vector<PieceKey> ChainOf(const Arrival& aArrival) const;

  // Returns the best known copies of the leading pieces of a chain.
  std::vector<StoredPiece> StoredPieces(std::span<const PieceKey> aChain);

  Daemon& DaemonFor(const Arrival& aArrival);
  const OrganisationId& Organisation(std::uint32_t aOrganisation) const;

  // Transfers pieces to a runner. Returns false if a store host failed, and
  // then removes its entries from the directory.
  Task<bool> Restore(Daemon& aDaemon,
                     const Arrival& aArrival,
                     std::vector<StoredCopy> aPieces,
                     std::uint32_t aRunnerZone);

  // Exports the pieces of a served request to store hosts.
  Task<void> Export(Daemon& aDaemon, Arrival aArrival, std::uint32_t aZone);

  // Exports the pieces of one part of a group that are not stored yet.
  Task<void> ExportPart(Daemon& aDaemon,
                        StoredGroup aGroup,
                        std::uint32_t aZone);

  // Updates the return model and the last use of stored groups.
  void RecordArrival(const Arrival& aArrival);

  // Starts the requests that the daemon's fair queue admits now.
  void StartAdmittedRequests(Daemon& aDaemon);

  std::uint32_t RunnerZone(std::uint32_t aRunner) const
  {
    return aRunner % this->deployment.zones;
  }
  UpstreamId RunnerName(std::uint32_t aRunner) const
  {
    return UpstreamId("runner-" + std::to_string(aRunner));
  }

  // Adds the outcome of a measured request, which counts as unserved until
  // CloseOutcome. Returns nullopt for requests of the warm-up.
  std::optional<std::size_t> OpenOutcome(const Arrival& aArrival);
  void CloseOutcome(std::optional<std::size_t> aOutcome,
                    const Arrival& aArrival,
                    const Job& aJob,
                    TimePoint aFirstToken);

  // Returns the utilisation of links and runners since the start; the other
  // metrics are zero.
  ReplayMetrics Utilisation() const;

  // Declared first, so that it outlives the objects that coroutines use.
  VirtualTime time;
  const Deployment& deployment;
  const Trace& trace;
  PolicyTraits traits;
  Fault fault;
  std::vector<std::unique_ptr<FakeRunner>> runners;
  // False once a runner has left the host list.
  std::vector<bool> listed;
  std::vector<FakeLink> links;
  std::vector<ViewIndex> zoneLinks;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Outcome> outcomes;

private:
  struct DelayedBatch
  {
    TimePoint due;
    std::uint32_t runner = 0;
    // The only daemon to which the batch goes, as the answer to its resync; all
    // daemons if empty.
    std::optional<std::uint32_t> daemon;
    CacheEventBatch batch;
    std::uint64_t listSequence = 0;
  };

  void MakeLinks();
  void MakeDaemons();
  void CollectEvents();
  void DeliverEvents();
  void DeliverTo(std::uint32_t aDaemon, const DelayedBatch& aDelayed);
  Task<void> MoveBatch(Daemon& aDaemon,
                       OrganisationId aOrganisation,
                       std::vector<ViewIndex> aPath,
                       std::uint64_t aBytes,
                       std::shared_ptr<struct PendingTransfers> aPending);
  double RetentionScore(const StoredGroup& aGroup, TimePoint aNow);
  bool IsCopied(const StoredGroup& aGroup) const;
  std::vector<StoredGroup> PartsOf(const StoredGroup& aGroup,
                                   std::uint32_t aZone) const;
  bool AdmitPart(StoredGroup& aGroup, TimePoint aNow);
  PieceValue ValueOf(const StoredGroup& aGroup, TimePoint aNow);
  Scarcity CurrentScarcity() const;
  double ReturnChance(std::uint32_t aOrganisation, double aGapSeconds);
  StoredGroup GroupOf(const Arrival& aArrival, bool aArchive) const;
  Duration EventDelay() const;

  PieceDirectory directory{ 4'000'000 };
  ReturnModel returns;
  Retention retention{ RetentionPrices{} };
  std::unique_ptr<FakeStores> stores;
  std::deque<DelayedBatch> delayedBatches;
  std::mt19937_64 random{ 7 };
  // Return chances by organisation and bucket of the gap; negative if not
  // computed yet. Cleared every minute of virtual time.
  std::vector<std::vector<double>> returnChances;
  TimePoint returnChancesClearedAt;
};

} // namespace wigeonwalk::replay
