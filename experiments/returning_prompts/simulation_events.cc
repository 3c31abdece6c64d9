// Part of Simulation: reports, cache events, faults, the state before the
// trace, and results.
#include "returning_prompts/simulation.h"

namespace wigeonwalk::replay {

using namespace std::chrono_literals;

namespace {

// Interval between reports of load and cache events. Load arrives one interval
// later, and events after the usual delay, or with Fault::LateEvents after the
// late delay. kLostEventBatchFraction is the fraction of event batches that are
// then lost.
constexpr Duration kReportInterval = 1s;
constexpr Duration kDefaultEventDelay = 1s;
constexpr Duration kLateEventDelay = 30s;
constexpr double kLostEventBatchFraction = 0.1;

// Time until a failed host is removed from the host list.
constexpr Duration kHostListDelay = 2s;

} // namespace

Duration
Simulation::EventDelay() const
{
  return this->fault == Fault::LateEvents ? kLateEventDelay
                                          : kDefaultEventDelay;
}

Task<void>
Simulation::RunReports()
{
  std::vector<double> waits(this->runners.size(), 0);
  TimePoint measuredAt = this->time.Now();
  while (this->time.Now() < this->trace.end) {
    co_await this->time.WaitUntil(this->time.Now() + kReportInterval);
    for (std::size_t i = 0; i < this->runners.size(); ++i) {
      for (const auto& daemon : this->daemons) {
        daemon->loads[i].Report(waits[i], measuredAt);
      }
      waits[i] = this->runners[i]->WaitingSeconds();
    }
    measuredAt = this->time.Now();
    this->CollectEvents();
    this->DeliverEvents();
  }
}

void
Simulation::CollectEvents()
{
  const bool lossy = this->fault == Fault::LateEvents;
  std::bernoulli_distribution lost(lossy ? kLostEventBatchFraction : 0);
  for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
    CacheEventBatch batch{ 1, this->runners[i]->TakeEvents() };
    if (!batch.events.empty() && !lost(this->random)) {
      this->delayedBatches.push_back(
        { this->time.Now() + this->EventDelay(), i, {}, std::move(batch) });
    }
  }
}

void
Simulation::DeliverEvents()
{
  while (!this->delayedBatches.empty() &&
         this->delayedBatches.front().due <= this->time.Now()) {
    const DelayedBatch next = std::move(this->delayedBatches.front());
    this->delayedBatches.pop_front();
    for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
      if (!next.daemon || *next.daemon == i) {
        this->DeliverTo(i, next);
      }
    }
  }
}

void
Simulation::DeliverTo(std::uint32_t aDaemon, const DelayedBatch& aDelayed)
{
  Daemon& daemon = *this->daemons[aDaemon];
  const UpstreamId name = this->RunnerName(aDelayed.runner);
  if (aDelayed.daemon) {
    daemon.tracker.Resync(
      name, aDelayed.batch, aDelayed.listSequence, this->time.Now());
    daemon.resyncing[aDelayed.runner] = false;
    return;
  }
  daemon.tracker.Apply(name, aDelayed.batch, this->time.Now());
  if (daemon.tracker.NeedsResync(name) && !daemon.resyncing[aDelayed.runner]) {
    const FakeRunner& runner = *this->runners[aDelayed.runner];
    daemon.resyncing[aDelayed.runner] = true;
    this->delayedBatches.push_back({ this->time.Now() + this->EventDelay(),
                                     aDelayed.runner,
                                     aDaemon,
                                     runner.ListCache(),
                                     runner.LastSequence() });
  }
}

Task<void>
Simulation::InjectFault()
{
  const auto measured = this->trace.end - this->trace.measureFrom;
  co_await this->time.WaitUntil(this->trace.measureFrom + measured / 3);
  // Zone 1, or only its store host or the links to it, fails.
  constexpr std::uint32_t kFailedZone = 1;
  if (this->fault == Fault::SlowLink) {
    this->links[2 * kFailedZone].bytesPerSecond /= 10;
    this->links[2 * kFailedZone + 1].bytesPerSecond /= 10;
  }
  if (this->fault == Fault::StoreLost || this->fault == Fault::ZoneOut) {
    this->links[2 * kFailedZone].broken = true;
    this->links[2 * kFailedZone + 1].broken = true;
    this->stores->ClearStore(kFailedZone);
  }
  if (this->fault == Fault::ZoneOut) {
    for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
      if (this->RunnerZone(i) == kFailedZone) {
        this->runners[i]->Stop();
      }
    }
    co_await this->time.WaitUntil(this->time.Now() + kHostListDelay);
    for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
      this->listed[i] = !this->runners[i]->Stopped();
    }
  }
}

void
Simulation::LoadHistory()
{
  if (!this->traits.restores) {
    return;
  }
  for (const PastServing& serving : this->trace.pastServings) {
    Arrival arrival;
    arrival.organisation = serving.organisation;
    arrival.gapSeconds = serving.gapSeconds;
    this->RecordArrival(arrival);
  }
  for (const PastPrompt& past : this->trace.pastPrompts) {
    Arrival arrival;
    arrival.organisation = past.organisation;
    arrival.prompt = past.prompt;
    arrival.archivePieces = past.archivePieces;
    arrival.tokens = std::uint64_t{ past.pieces } * kPieceTokens;
    for (const bool archive : { true, false }) {
      StoredGroup group = this->GroupOf(arrival, archive);
      group.inDirectory = archive || past.returns;
      group.lastUse = past.lastAt;
      if (group.pieces == 0) {
        continue;
      }
      const auto zone =
        static_cast<std::uint32_t>(past.prompt % this->deployment.zones);
      for (StoredGroup part : this->PartsOf(group, zone)) {
        if (this->AdmitPart(part, past.lastAt)) {
          this->stores->Put(part, past.lastAt);
        }
      }
    }
  }
}

void
Simulation::StartAdmittedRequests(Daemon& aDaemon)
{
  while (auto next = aDaemon.queue.Pop(this->time.Now())) {
    next->item->Notify();
  }
}

namespace {

RecomputeCauses
CausesOf(const Outcome& aOutcome, const Job& aJob)
{
  RecomputeCauses causes;
  const double seen = aOutcome.seenTokens / kPieceTokens;
  const double lost = aOutcome.recomputedTokens / kPieceTokens;
  const auto planned = static_cast<double>(aJob.restoreTo);
  const auto stored = static_cast<double>(aJob.storedPieces);
  if (!aJob.restored) {
    causes.restoreFailed = lost;
    return causes;
  }
  causes.notStored = std::max(0.0, seen - std::max(stored, planned));
  causes.recomputeCheaper = std::max(0.0, std::min(stored, seen) - planned);
  causes.evictedByRunner =
    std::max(0.0, lost - causes.notStored - causes.recomputeCheaper);
  return causes;
}

} // namespace

std::optional<std::size_t>
Simulation::OpenOutcome(const Arrival& aArrival)
{
  if (aArrival.at < this->trace.measureFrom) {
    return std::nullopt;
  }
  Outcome outcome;
  outcome.organisation = aArrival.organisation;
  outcome.firstTokenSeconds = ToSeconds(kDrainTime);
  outcome.promptTokens = static_cast<double>(aArrival.tokens);
  outcome.seenTokens =
    static_cast<double>(aArrival.seenTokens / kPieceTokens * kPieceTokens);
  outcome.recomputedTokens = outcome.seenTokens;
  outcome.inTime = false;
  outcome.returning = aArrival.gapSeconds >= 0;
  this->outcomes.push_back(outcome);
  return this->outcomes.size() - 1;
}

void
Simulation::CloseOutcome(std::optional<std::size_t> aOutcome,
                         const Arrival& aArrival,
                         const Job& aJob,
                         TimePoint aFirstToken)
{
  if (!aOutcome || !aJob.completed) {
    return;
  }
  Outcome& outcome = this->outcomes[*aOutcome];
  outcome.firstTokenSeconds = ToSeconds(aFirstToken - aArrival.at);
  outcome.inTime = aFirstToken < this->trace.end;
  const double unseen = outcome.promptTokens - outcome.seenTokens;
  outcome.recomputedTokens = std::max(0.0, aJob.computedTokens - unseen);
  outcome.causes = CausesOf(outcome, aJob);
}

ReplayMetrics
Simulation::Utilisation() const
{
  ReplayMetrics metrics;
  const double seconds = ToSeconds(this->time.Now() - this->trace.start);
  const std::size_t storeLinks = std::size_t{ 2 } * this->deployment.zones;
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    const double utilisation = this->links[i].busySeconds / seconds;
    if (i < storeLinks) {
      metrics.storeLinkUtilisation +=
        utilisation / static_cast<double>(storeLinks);
    } else {
      metrics.zoneLinkUtilisation +=
        utilisation / static_cast<double>(this->links.size() - storeLinks);
    }
  }
  for (const auto& runner : this->runners) {
    metrics.runnerUtilisation += runner->BusySeconds() / seconds /
                                 static_cast<double>(this->runners.size());
  }
  return metrics;
}

} // namespace wigeonwalk::replay
