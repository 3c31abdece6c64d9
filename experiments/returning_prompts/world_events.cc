// Part of World: reports, cache events, faults, the state before the trace, and
// results.
#include "returning_prompts/world.h"

namespace wigeonwalk::replay {

using namespace std::chrono_literals;

namespace {

// Interval between reports of load and cache events. Load arrives one interval
// later, and events after the usual delay, or with Fault::LateEvents after the
// late delay. kLostEvents is the fraction of event batches that are then lost.
constexpr Duration kReportInterval = 1s;
constexpr Duration kUsualDelay = 1s;
constexpr Duration kLateDelay = 30s;
constexpr double kLostEvents = 0.1;

// Time until a failed host is removed from the host list.
constexpr Duration kListDelay = 2s;

} // namespace

Duration
World::EventDelay() const
{
  return this->fault == Fault::LateEvents ? kLateDelay : kUsualDelay;
}

Task<void>
World::Report()
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
World::CollectEvents()
{
  const bool lossy = this->fault == Fault::LateEvents;
  std::bernoulli_distribution lost(lossy ? kLostEvents : 0);
  for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
    CacheEventBatch batch{ 1, this->runners[i]->TakeEvents() };
    if (!batch.events.empty() && !lost(this->random)) {
      this->late.push_back(
        { this->time.Now() + this->EventDelay(), i, {}, std::move(batch) });
    }
  }
}

void
World::DeliverEvents()
{
  while (!this->late.empty() && this->late.front().due <= this->time.Now()) {
    const Late next = std::move(this->late.front());
    this->late.pop_front();
    for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
      if (!next.daemon || *next.daemon == i) {
        this->DeliverTo(i, next);
      }
    }
  }
}

void
World::DeliverTo(std::uint32_t aDaemon, const Late& aLate)
{
  Daemon& daemon = *this->daemons[aDaemon];
  const UpstreamId name = this->RunnerName(aLate.runner);
  if (aLate.daemon) {
    daemon.tracker.Resync(
      name, aLate.batch, aLate.listSequence, this->time.Now());
    daemon.resyncing[aLate.runner] = false;
    return;
  }
  daemon.tracker.Apply(name, aLate.batch, this->time.Now());
  if (daemon.tracker.NeedsResync(name) && !daemon.resyncing[aLate.runner]) {
    const FakeRunner& runner = *this->runners[aLate.runner];
    daemon.resyncing[aLate.runner] = true;
    this->late.push_back({ this->time.Now() + this->EventDelay(),
                           aLate.runner,
                           aDaemon,
                           runner.ListCache(),
                           runner.LastSequence() });
  }
}

Task<void>
World::Fail()
{
  const auto measured = this->trace.end - this->trace.measureFrom;
  co_await this->time.WaitUntil(this->trace.measureFrom + measured / 3);
  // Zone 1, or only its store host or the links to it, fails.
  constexpr std::uint32_t kFailed = 1;
  if (this->fault == Fault::SlowLink) {
    this->links[2 * kFailed].bytesPerSecond /= 10;
    this->links[2 * kFailed + 1].bytesPerSecond /= 10;
  }
  if (this->fault == Fault::StoreLost || this->fault == Fault::ZoneOut) {
    this->links[2 * kFailed].broken = true;
    this->links[2 * kFailed + 1].broken = true;
    this->stores->Lose(kFailed);
  }
  if (this->fault == Fault::ZoneOut) {
    for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
      if (this->RunnerZone(i) == kFailed) {
        this->runners[i]->Stop();
      }
    }
    co_await this->time.WaitUntil(this->time.Now() + kListDelay);
    for (std::uint32_t i = 0; i < this->runners.size(); ++i) {
      this->listed[i] = !this->runners[i]->Stopped();
    }
  }
}

void
World::Prime()
{
  if (!this->traits.restores) {
    return;
  }
  for (const PastServing& serving : this->trace.learned) {
    Arrival arrival;
    arrival.organisation = serving.organisation;
    arrival.gapSeconds = serving.gapSeconds;
    this->NoteArrival(arrival);
  }
  for (const PastPrompt& past : this->trace.past) {
    Arrival arrival;
    arrival.organisation = past.organisation;
    arrival.prompt = past.prompt;
    arrival.archivePieces = past.archivePieces;
    arrival.tokens = std::uint64_t{ past.pieces } * kPieceTokens;
    for (const bool archive : { true, false }) {
      StoredGroup group = this->GroupOf(arrival, archive);
      group.listed = archive || past.returns;
      group.lastUse = past.lastAt;
      if (group.pieces == 0) {
        continue;
      }
      const auto zone =
        static_cast<std::uint32_t>(past.prompt % this->deployment.zones);
      for (StoredGroup part : this->PartsOf(group, zone)) {
        if (this->Accept(part, past.lastAt)) {
          this->stores->Put(part, past.lastAt);
        }
      }
    }
  }
}

void
World::PumpQueue(Daemon& aDaemon)
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
    causes.failed = lost;
    return causes;
  }
  causes.notStored = std::max(0.0, seen - std::max(stored, planned));
  causes.chosen = std::max(0.0, std::min(stored, seen) - planned);
  causes.missed = std::max(0.0, lost - causes.notStored - causes.chosen);
  return causes;
}

} // namespace

std::optional<std::size_t>
World::OpenOutcome(const Arrival& aArrival)
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
World::CloseOutcome(std::optional<std::size_t> aOutcome,
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

Figures
World::Use() const
{
  Figures figures;
  const double seconds = ToSeconds(this->time.Now() - this->trace.start);
  const std::size_t storeLinks = std::size_t{ 2 } * this->deployment.zones;
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    const double use = this->links[i].busySeconds / seconds;
    if (i < storeLinks) {
      figures.storeLinkUse += use / static_cast<double>(storeLinks);
    } else {
      figures.zoneLinkUse +=
        use / static_cast<double>(this->links.size() - storeLinks);
    }
  }
  for (const auto& runner : this->runners) {
    figures.runnerUse += runner->BusySeconds() / seconds /
                         static_cast<double>(this->runners.size());
  }
  return figures;
}

} // namespace wigeonwalk::replay
