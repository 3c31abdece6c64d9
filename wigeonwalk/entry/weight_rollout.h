// Rolls out newly published weights to the runners.
//
//   WeightRollout rollout(state, leader, control, timer, log);
//   for (auto& step : rollout.NextSteps()) { spawn(rollout.Load(step)); }
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/order_authority.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/runner_control.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
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

// Returns how many runners may load at once so that all of them finish within
// the deployment's time limit, if one takes `aLoadTime`. More at once would
// load more slowly and take more runners out of service.
constexpr std::size_t
MaxConcurrentLoads(std::size_t aRunners, Duration aAllowed, Duration aLoadTime)
{
  // Fraction of the allowed time that a rollout is planned to take.
  constexpr double kPlannedFraction = 0.8;
  const double rounds =
    kPlannedFraction * ToSeconds(aAllowed) / ToSeconds(aLoadTime);
  const double atOnce = static_cast<double>(aRunners) / std::max(rounds, 1.0);
  return std::clamp(static_cast<std::size_t>(atOnce) + 1,
                    std::size_t(1),
                    std::max<std::size_t>(MaxOutOfService(aRunners), 1));
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
  // Time from an order to the end of its load, before any was measured. The
  // load starts after the runner's requests have ended, which takes some
  // seconds where responses are long.
  static constexpr Duration kInitialLoadTime = std::chrono::milliseconds(1'400);
  // Weight of the latest load in the average load time.
  static constexpr double kLoadTimeSmoothing = 0.3;
  // A load that takes longer than this counts as failed and is tried again. The
  // longest responses take several seconds, and the load starts after them.
  static constexpr Duration kLoadTimeout = std::chrono::seconds(10);
  // How long a runner that loads next gets no new requests beforehand.
  static constexpr Duration kPreloadPause = std::chrono::milliseconds(1'800);
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
    if (done) {
      this->failed.erase(id);
      const Duration elapsed = this->timer.Now() - startedAt;
      this->loadTime +=
        FromSeconds(kLoadTimeSmoothing * ToSeconds(elapsed - this->loadTime));
    } else {
      FailedLoad& failure = this->failed[id];
      ++failure.count;
      failure.retryAt = this->timer.Now() + kRetryDelay;
    }
  }

private:
  // A runner whose load failed. It does not count as loading and gets no new
  // order before `retryAt`.
  struct FailedLoad
  {
    std::uint32_t count = 0;
    TimePoint retryAt;
  };

  std::uint32_t FailuresOf(const UpstreamId& aRunner) const
  {
    const auto found = this->failed.find(aRunner);
    return found == this->failed.end() ? 0 : found->second.count;
  }

  void AddSteps(const ServiceConfiguration& aService,
                std::vector<LoadStep>& aSteps)
  {
    auto runners = this->state.fleet.RunnersOf(aService.name);
    // Runners with fewer failures come first, so that one that fails repeatedly
    // does not block the others.
    std::sort(runners.begin(),
              runners.end(),
              [this](const auto& aLeft, const auto& aRight) {
                const std::uint32_t ofLeft = this->FailuresOf(aLeft->entry.id);
                const std::uint32_t ofRight =
                  this->FailuresOf(aRight->entry.id);
                return std::tie(ofLeft, aLeft->entry.id) <
                       std::tie(ofRight, aRight->entry.id);
              });
    std::size_t busy = 0;
    for (const auto& runner : runners) {
      busy += this->loading.contains(runner->entry.id) ? 1 : 0;
    }
    const std::size_t maxLoading =
      MaxConcurrentLoads(runners.size(),
                         this->state.Settings().bounds.newWeights,
                         this->ExpectedLoadTime());
    for (const auto& runner : runners) {
      auto step = this->StepFor(runner);
      if (!step) {
        continue;
      }
      if (busy < maxLoading) {
        aSteps.push_back(std::move(*step));
        this->loading.emplace(runner->entry.id, this->timer.Now());
        ++busy;
      } else if (busy < MaxOutOfService(runners.size())) {
        // Its running requests end while the others load.
        this->PauseBeforeLoad(*step);
        ++busy;
      }
    }
  }

  // The average time of a load, or the age of the oldest one in progress if
  // that is longer, so that the pace rises before the first slow load has
  // ended.
  Duration ExpectedLoadTime() const
  {
    Duration expected = this->loadTime;
    for (const auto& [runner, startedAt] : this->loading) {
      expected = std::max(expected, this->timer.Now() - startedAt);
    }
    return expected;
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
    for (const LoadedModel& loaded : aRunner->entry.models) {
      const WeightNumber newest =
        this->state.WeightsOf(loaded.model).Newest().version;
      if (loaded.version < newest) {
        return LoadStep{ aRunner, loaded.model, newest };
      }
    }
    return std::nullopt;
  }

  void PauseBeforeLoad(const LoadStep& aStep)
  {
    if (aStep.runner->pausedUntil <= this->timer.Now()) {
      this->Pause(aStep, kPreloadPause);
    }
  }

  Task<bool> LoadOnce(const LoadStep& aStep)
  {
    Runner& runner = *aStep.runner;
    FailureReason reason;
    const std::string address = runner.entry.address;
    const auto report = co_await this->ReadReport(aStep.runner, reason);
    if (!report || !runner.IsSameStart(report->startedAt)) {
      this->LogStep(aStep, OrderOutcome::Unknown, reason);
      co_return false;
    }
    if (HasWeights(*report, aStep)) {
      this->Finish(aStep);
      co_return true;
    }
    if (report->busy) {
      co_return co_await this->AwaitLoad(aStep);
    }
    const auto number = this->leader.FencingNumber();
    if (!number || runner.leaving ||
        runner.requestedPause.IsPaused(this->timer.Now())) {
      co_return false;
    }
    const WeightsOrder order{ runner.entry.id,
                              address,
                              aStep.model,
                              aStep.version,
                              this->state.Settings().host,
                              *number,
                              report->acceptedOrders };
    this->Pause(aStep, kLoadTimeout);
    const TimePoint orderBy = this->timer.Now() + kCallTimeout;
    RunnerAdvice advice;
    const OrderOutcome outcome =
      co_await this->control.Order(order, orderBy, advice, reason);
    ApplyAdvice(
      this->state, this->log, aStep.runner, advice, this->timer.Now());
    this->LogStep(aStep, outcome, reason);
    co_return co_await this->HandleOutcome(aStep, outcome);
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

  Task<bool> HandleOutcome(const LoadStep& aStep, OrderOutcome aOutcome)
  {
    switch (aOutcome) {
      case OrderOutcome::Accepted:
      case OrderOutcome::Busy:
      case OrderOutcome::Unknown: {
        // An order without a response may have been accepted. The next order
        // contains the number of accepted orders, so that only one of the two
        // takes effect.
        const bool loaded = co_await this->AwaitLoad(aStep);
        co_return loaded;
      }
      case OrderOutcome::AlreadyDone:
        this->Finish(aStep);
        co_return true;
      case OrderOutcome::Fenced:
        this->leader.NoteFenced();
        break;
      case OrderOutcome::Rejected:
      case OrderOutcome::WrongRunner:
        break;
    }
    this->Pause(aStep, Duration(0));
    co_return false;
  }

  // Polls the runner's reports until it has the weights. Returns false if the
  // runner is not loading, has restarted or takes too long.
  Task<bool> AwaitLoad(const LoadStep& aStep)
  {
    const TimePoint begunAt = this->timer.Now();
    TimePoint next = begunAt + kMinLoadTime;
    while (next < begunAt + kLoadTimeout) {
      co_await this->timer.WaitUntil(next);
      FailureReason reason;
      const auto report = co_await this->ReadReport(aStep.runner, reason);
      if (report && !aStep.runner->IsSameStart(report->startedAt)) {
        break;
      }
      if (report && HasWeights(*report, aStep)) {
        this->Finish(aStep);
        co_return true;
      }
      if (report && !report->busy) {
        break;
      }
      next = this->timer.Now() + kReportInterval;
    }
    this->Pause(aStep, Duration(0));
    co_return false;
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
  Duration loadTime = kInitialLoadTime;
  std::map<UpstreamId, FailedLoad> failed;
};

} // namespace wigeonwalk
