// Rolls out newly published weights to the runners.
//
//   WeightRollout rollout(state, leader, control, timer, log);
//   for (auto& step : rollout.NextSteps()) { spawn(rollout.Load(step)); }
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/load_plan.h"
#include "wigeonwalk/entry/order_authority.h"
#include "wigeonwalk/entry/replaced_weights.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/runner_control.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Notifies other daemons of runners that load weights.
template<typename T>
concept PauseNotifier = requires(T& aNotifier, const RunnerPause& aPause)
{
  aNotifier.AnnouncePause(aPause);
};

// One runner that is to load other weights.
struct LoadStep
{
  std::shared_ptr<Runner> runner;
  ModelName model;
  WeightNumber version = 0;
};

// Returns how many runners may be out of service at once, including those that
// are paused because they load next.
constexpr std::size_t
MaxOutOfService(std::size_t aRunners)
{
  return aRunners / 3;
}

// Rolls out weights while the daemon holds the lease on orders. Each loading
// runner has one task.
template<OrderAuthority O,
         PauseNotifier P,
         RunnerControl C,
         Timer T,
         StructuredLog L>
class WeightRollout
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(50);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(600);
  // A load takes 1.1 s and reports are up to 0.1 s old, so the first report is
  // requested after this time.
  static constexpr Duration kMinLoadTime = std::chrono::milliseconds(1'220);
  static constexpr Duration kReportInterval = std::chrono::milliseconds(120);
  // A load that takes longer than this counts as failed and is tried again. The
  // longest responses take several seconds, and the load starts after them.
  static constexpr Duration kLoadTimeout = std::chrono::seconds(10);
  // How long a runner that loads next gets no new requests beforehand.
  static constexpr Duration kPreloadPause = std::chrono::milliseconds(1'800);
  // Most orders of one Load task. A runner that then loads nothing gets
  // requests again until it is tried once more.
  static constexpr int kMaxOrders = 3;
  // Delay before a runner that failed gets another order.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(700);

  WeightRollout(EntryState& aState,
                O& aLeader,
                P& aPeers,
                C& aControl,
                T& aTimer,
                L& aLog)
    : state(aState)
    , leader(aLeader)
    , peers(aPeers)
    , control(aControl)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Returns the runners that start to load now. The caller must start a Load
  // task for each.
  std::vector<LoadStep> NextSteps()
  {
    std::vector<LoadStep> steps;
    const auto& routes = this->state.Routes();
    if (!this->leader.FencingNumber() || routes == nullptr) {
      return steps;
    }
    for (const auto& service : routes->Configuration().services) {
      if (service.engine) {
        this->AddSteps(service, steps);
      }
    }
    return steps;
  }

  // Loads the new weights at one runner; if that fails, a later step tries
  // again.
  Task<void> Load(LoadStep aStep)
  {
    const UpstreamId id = aStep.runner->entry.id;
    const TimePoint startedAt = this->timer.Now();
    const bool done = co_await this->LoadOnce(aStep);
    this->loading.erase(id);
    const Duration elapsed = this->timer.Now() - startedAt;
    FailedLoad& failure = this->failed[id];
    failure.spent += elapsed;
    if (done) {
      this->loadTimes.Record(std::min(failure.spent, kLoadTimeout));
      this->failed.erase(id);
    } else {
      failure.retryAt = this->timer.Now() + kRetryDelay;
    }
  }

private:
  // A runner whose load failed. It does not count as loading and gets no new
  // order before `retryAt`.
  struct FailedLoad
  {
    // Time that failed attempts have taken since the runner's last load.
    Duration spent{ 0 };
    TimePoint retryAt;
  };

  // A runner that can start to load now.
  struct PendingStep
  {
    PendingLoad load;
    LoadStep step;
  };

  // Returns the runners that can start to load now, the one that should load
  // first at the front.
  std::vector<PendingStep> PendingSteps(
    const std::vector<std::shared_ptr<Runner>>& aRunners) const
  {
    std::vector<PendingStep> pending;
    for (const auto& runner : aRunners) {
      if (auto step = this->StepFor(runner)) {
        const UpstreamId& id = runner->entry.id;
        const auto failure = this->failed.find(id);
        PendingLoad load{
          id,
          UsableUntil(this->state, step->model, runner->VersionOf(step->model)),
          failure == this->failed.end() ? Duration(0) : failure->second.spent
        };
        pending.push_back({ std::move(load), std::move(*step) });
      }
    }
    std::sort(pending.begin(),
              pending.end(),
              [](const PendingStep& aLeft, const PendingStep& aRight) {
                return LoadsBefore(aLeft.load, aRight.load);
              });
    return pending;
  }

  void AddSteps(const ServiceConfiguration& aService,
                std::vector<LoadStep>& aSteps)
  {
    const auto runners = this->state.fleet.RunnersOf(aService.name);
    std::vector<PendingStep> pending = this->PendingSteps(runners);
    const std::size_t mostOut = MaxOutOfService(runners.size());
    std::size_t busy = 0;
    for (const auto& runner : runners) {
      busy += this->loading.contains(runner->entry.id) ? 1 : 0;
    }
    const std::size_t needed = this->LoadsNeededFor(runners, pending);
    const std::size_t maxLoading =
      std::min(needed, std::max<std::size_t>(mostOut, 1));
    // As many as load now can load next.
    const std::size_t maxPaused = std::min(2 * maxLoading, mostOut);
    for (PendingStep& next : pending) {
      if (busy < maxLoading) {
        aSteps.push_back(std::move(next.step));
        this->loading.emplace(next.load.runner, this->timer.Now());
        this->pausedNext.erase(next.load.runner);
        ++busy;
      } else if (busy < maxPaused) {
        // Its running requests end while the others load.
        this->PauseBeforeLoad(next.step);
        ++busy;
      } else if (this->pausedNext.erase(next.load.runner) > 0) {
        // Others load before it now.
        this->EndPause(next.step);
      }
    }
  }

  // Returns how many runners of a service must load at once, including those
  // that load now.
  std::size_t LoadsNeededFor(
    const std::vector<std::shared_ptr<Runner>>& aRunners,
    const std::vector<PendingStep>& aPending) const
  {
    std::vector<TimePoint> loadingSince;
    for (const auto& runner : aRunners) {
      const auto found = this->loading.find(runner->entry.id);
      if (found != this->loading.end()) {
        loadingSince.push_back(found->second);
      }
    }
    std::vector<TimePoint> limits;
    for (const PendingStep& pending : aPending) {
      limits.push_back(pending.load.usableUntil);
    }
    const TimePoint now = this->timer.Now();
    ExpectedLoad expected = this->loadTimes.Expected(loadingSince, now);
    // The next load starts up to one interval after the end of the last one.
    expected.time += kLoopInterval;
    return LoadsNeeded(limits, loadingSince, expected, now);
  }

  std::optional<LoadStep> StepFor(const std::shared_ptr<Runner>& aRunner) const
  {
    const auto failure = this->failed.find(aRunner->entry.id);
    const bool waits = failure != this->failed.end() &&
                       this->timer.Now() < failure->second.retryAt;
    if (waits || this->loading.contains(aRunner->entry.id) ||
        aRunner->requestedPause.IsPaused(this->timer.Now())) {
      return std::nullopt;
    }
    std::optional<LoadStep> first;
    TimePoint firstUntil;
    for (const LoadedModel& loaded : aRunner->entry.models) {
      const WeightNumber newest =
        this->state.WeightsOf(loaded.model).Newest().version;
      if (loaded.version >= newest) {
        continue;
      }
      const TimePoint until =
        UsableUntil(this->state, loaded.model, loaded.version);
      if (!first || until < firstUntil) {
        first = LoadStep{ aRunner, loaded.model, newest };
        firstUntil = until;
      }
    }
    return first;
  }

  void PauseBeforeLoad(const LoadStep& aStep)
  {
    if (aStep.runner->pausedUntil <= this->timer.Now()) {
      this->pausedNext.insert(aStep.runner->entry.id);
      this->Pause(aStep, kPreloadPause);
    }
  }

  // State of a runner that is to load, after an order or a report.
  enum class LoadProgress
  {
    Loaded,
    // The runner lacks the weights and is not known to execute an order.
    Idle,
    Failed,
  };

  // Orders the weights until the runner loads them. No requests are sent to it
  // meanwhile, so that its running ones end.
  Task<bool> LoadOnce(const LoadStep& aStep)
  {
    LoadProgress progress = LoadProgress::Idle;
    for (int orders = 0; progress == LoadProgress::Idle; ++orders) {
      progress = co_await this->Advance(aStep, orders < kMaxOrders);
    }
    if (progress == LoadProgress::Failed) {
      this->EndPause(aStep);
    }
    co_return progress == LoadProgress::Loaded;
  }

  // Waits for a load that is in progress, or sends one order if `aMayOrder`.
  Task<LoadProgress> Advance(const LoadStep& aStep, bool aMayOrder)
  {
    Runner& runner = *aStep.runner;
    FailureReason reason;
    const std::string address = runner.entry.address;
    const auto report = co_await this->ReadReport(aStep.runner, reason);
    if (!report || !runner.IsSameStart(report->startedAt)) {
      this->LogStep(aStep, OrderOutcome::Unknown, reason);
      co_return LoadProgress::Failed;
    }
    if (HasWeights(*report, aStep)) {
      this->Finish(aStep);
      co_return LoadProgress::Loaded;
    }
    if (report->busy) {
      // An earlier order is being executed.
      this->Pause(aStep, kLoadTimeout);
      const TimePoint next = this->timer.Now() + kReportInterval;
      const LoadProgress loaded = co_await this->AwaitLoad(aStep, next);
      co_return loaded;
    }
    const auto number = this->leader.FencingNumber();
    if (!aMayOrder || !number || runner.leaving ||
        runner.requestedPause.IsPaused(this->timer.Now())) {
      co_return LoadProgress::Failed;
    }
    const WeightsOrder order{ runner.entry.id,
                              address,
                              aStep.model,
                              aStep.version,
                              this->state.Settings().host,
                              *number,
                              report->acceptedOrders };
    this->Pause(aStep, kLoadTimeout);
    const TimePoint orderedAt = this->timer.Now();
    const TimePoint orderBy = orderedAt + kCallTimeout;
    RunnerAdvice advice;
    const OrderOutcome outcome =
      co_await this->control.Order(order, orderBy, advice, reason);
    ApplyAdvice(
      this->state, this->log, aStep.runner, advice, this->timer.Now());
    this->LogStep(aStep, outcome, reason);
    const LoadProgress progress =
      co_await this->HandleOutcome(aStep, outcome, orderedAt);
    co_return progress;
  }

  Task<std::optional<RunnerReport>> ReadReport(std::shared_ptr<Runner> aRunner,
                                               FailureReason& aReason)
  {
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    RunnerAdvice advice;
    auto report = co_await this->control.Report(
      aRunner->entry.address, deadline, advice, aReason);
    ApplyAdvice(this->state,
                this->log,
                aRunner,
                report ? report->startedAt : 0,
                advice,
                this->timer.Now());
    co_return report;
  }

  Task<LoadProgress> HandleOutcome(const LoadStep& aStep,
                                   OrderOutcome aOutcome,
                                   TimePoint aOrderedAt)
  {
    switch (aOutcome) {
      case OrderOutcome::Accepted:
      case OrderOutcome::Busy: {
        const TimePoint first = aOrderedAt + kMinLoadTime;
        const LoadProgress loaded = co_await this->AwaitLoad(aStep, first);
        co_return loaded;
      }
      case OrderOutcome::Unknown:
        // The order may have been accepted, or may be executed at any later
        // time. The next one contains the number of accepted orders, so that
        // only one of the two takes effect.
        co_return LoadProgress::Idle;
      case OrderOutcome::AlreadyDone:
        this->Finish(aStep);
        co_return LoadProgress::Loaded;
      case OrderOutcome::Fenced:
        this->leader.NoteFenced();
        break;
      case OrderOutcome::Rejected:
      case OrderOutcome::WrongRunner:
        break;
    }
    co_return LoadProgress::Failed;
  }

  // Polls the runner's reports from `aFirst` on until it has the weights. Fails
  // if the runner has restarted or takes too long.
  Task<LoadProgress> AwaitLoad(const LoadStep& aStep, TimePoint aFirst)
  {
    const TimePoint endBy = this->timer.Now() + kLoadTimeout;
    TimePoint next = aFirst;
    while (next < endBy) {
      co_await this->timer.WaitUntil(next);
      FailureReason reason;
      const auto report = co_await this->ReadReport(aStep.runner, reason);
      if (report && !aStep.runner->IsSameStart(report->startedAt)) {
        co_return LoadProgress::Failed;
      }
      if (report && HasWeights(*report, aStep)) {
        this->Finish(aStep);
        co_return LoadProgress::Loaded;
      }
      if (report && !report->busy) {
        co_return LoadProgress::Idle;
      }
      next = this->timer.Now() + kReportInterval;
    }
    co_return LoadProgress::Failed;
  }

  static bool HasWeights(const RunnerReport& aReport, const LoadStep& aStep)
  {
    return std::any_of(aReport.models.begin(),
                       aReport.models.end(),
                       [&aStep](const LoadedModel& aLoaded) {
                         return aLoaded.model == aStep.model &&
                                aLoaded.version >= aStep.version;
                       });
  }

  // Stops new requests to the runner for the given time, here and at the other
  // daemons; zero ends a pause.
  void Pause(const LoadStep& aStep, Duration aPause)
  {
    Runner& runner = *aStep.runner;
    runner.pausedUntil = this->timer.Now() + aPause;
    this->peers.AnnouncePause(
      { runner.entry.id, aStep.model, runner.VersionOf(aStep.model), aPause });
  }

  void EndPause(const LoadStep& aStep)
  {
    if (aStep.runner->pausedUntil > this->timer.Now()) {
      this->Pause(aStep, Duration(0));
    }
  }

  void Finish(const LoadStep& aStep)
  {
    aStep.runner->SetVersion(aStep.model, aStep.version);
    this->Pause(aStep, Duration(0));
    this->log.Write(this->timer.Now(),
                    LogLevel::Info,
                    "weights loaded",
                    {},
                    { { LogKey::Upstream, aStep.runner->entry.id },
                      { LogKey::Model, aStep.model },
                      { LogKey::Version, aStep.version } });
  }

  void LogStep(const LoadStep& aStep,
               OrderOutcome aOutcome,
               const FailureReason& aReason)
  {
    this->log.Write(this->timer.Now(),
                    LogLevel::Info,
                    "weights ordered",
                    {},
                    { { LogKey::Upstream, aStep.runner->entry.id },
                      { LogKey::Model, aStep.model },
                      { LogKey::Version, aStep.version },
                      { LogKey::Outcome, aOutcome },
                      LogField(aReason) });
  }

  EntryState& state;
  O& leader;
  P& peers;
  C& control;
  T& timer;
  L& log;
  // Runners with a Load task, and when it started.
  std::map<UpstreamId, TimePoint> loading;
  // Runners that were paused because they load next.
  std::set<UpstreamId> pausedNext;
  LoadTimeEstimate loadTimes{ kMinLoadTime };
  std::map<UpstreamId, FailedLoad> failed;
};

} // namespace wigeonwalk
