#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/entry/weight_rollout.h"
#include "wigeonwalk/testing/null_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Records which runners are paused, and the most at once.
struct PauseRecord
{
  void AnnouncePause(const RunnerPause& aPause)
  {
    if (aPause.pause > Duration(0)) {
      this->paused.insert(aPause.runner.Text());
    } else {
      this->paused.erase(aPause.runner.Text());
    }
    this->most = std::max(this->most, this->paused.size());
  }
  std::set<std::string> paused;
  std::size_t most = 0;
};

// One daemon that rolls out weights.
struct Setting
{
  explicit Setting(int aRunners, Duration aNewWeights = 12s)
    : control(time)
    , state(MakeTimedSettings(aNewWeights))
    , rollout(state, leader, pauses, control, time, log)
  {
    this->state.Apply(MakeConfiguration(), this->time.Now());
    AddRunners(this->state, this->control, aRunners);
    this->time.Spawn(this->Drive());
  }

  static EntrySettings MakeTimedSettings(Duration aNewWeights)
  {
    EntrySettings settings = MakeSettings("front-1");
    settings.bounds.newWeights = aNewWeights;
    return settings;
  }

  Task<void> Drive()
  {
    while (true) {
      for (LoadStep& step : this->rollout.NextSteps()) {
        this->time.Spawn(this->rollout.Load(std::move(step)));
        std::size_t loading = 0;
        for (const auto& [address, runner] : this->control.runners) {
          loading += this->time.Now() < runner.busyUntil ? 1 : 0;
        }
        this->maxLoading = std::max(this->maxLoading, loading + 1);
      }
      const TimePoint next = this->time.Now() + 50ms;
      co_await this->time.WaitUntil(next);
    }
  }

  void Publish(WeightNumber aVersion)
  {
    this->state.Apply(DesiredWeights{ kModel, aVersion }, this->time.Now());
  }

  bool AllHave(WeightNumber aVersion) const
  {
    return std::all_of(
      this->control.runners.begin(),
      this->control.runners.end(),
      [&](const auto& aRunner) { return aRunner.second.version == aVersion; });
  }

  std::uint64_t Loads() const
  {
    std::uint64_t loads = 0;
    for (const auto& [address, runner] : this->control.runners) {
      loads += runner.loads;
    }
    return loads;
  }

  VirtualTime time;
  FakeRunnerControl control;
  FakeOrderAuthority leader;
  PauseRecord pauses;
  NullLog log;
  EntryState state;
  std::size_t maxLoading = 0;
  WeightRollout<FakeOrderAuthority,
                PauseRecord,
                FakeRunnerControl,
                VirtualTime,
                NullLog>
    rollout;
};

} // namespace

// Guards against rollouts that finish late, load weights twice or take too many
// runners out of service.
SCENARIO("newly published weights are rolled out to all runners")
{
  const int runners = GENERATE(1, 2, 4, 9, 18, 60, 890);
  Setting setting(runners);
  setting.Publish(2);
  const Duration allowed = setting.state.Settings().bounds.newWeights;
  setting.time.RunUntil(setting.time.Now() + allowed);
  INFO(runners << " runners");

  CHECK(setting.AllHave(2));
  CHECK(setting.Loads() == static_cast<std::uint64_t>(runners));
  CHECK(setting.pauses.paused.empty());
  CHECK(
    setting.maxLoading <=
    MaxConcurrentLoads(static_cast<std::size_t>(runners), allowed, 1'400ms) +
      1);
  if (runners >= 4) {
    CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
  }
}

// Guards against a rollout that misses its time limit because each runner first
// finishes responses that take seconds.
SCENARIO("loads that wait for long responses still finish in time")
{
  const int runners = GENERATE(9, 18, 71, 160);
  Setting setting(runners, 15s);
  for (auto& [address, runner] : setting.control.runners) {
    runner.loadTime = 3s;
  }
  setting.Publish(2);
  setting.time.RunUntil(setting.time.Now() +
                        setting.state.Settings().bounds.newWeights);
  INFO(runners << " runners");

  CHECK(setting.AllHave(2));
  CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
}

// Guards against an order that takes effect twice, or a delayed order that
// returns a runner to older weights.
SCENARIO("orders without a response")
{
  const auto fault = GENERATE(
    OrderFault::AnswerLost, OrderFault::OrderLost, OrderFault::AppliedLate);
  Setting setting(4);
  for (auto& [address, runner] : setting.control.runners) {
    runner.fault = fault;
  }
  setting.Publish(2);

  WHEN("no newer weights are published")
  {
    setting.time.RunUntil(setting.time.Now() + 20s);
    CHECK(setting.AllHave(2));
    CHECK(setting.Loads() == 4);
  }

  WHEN("newer weights are published during the rollout")
  {
    setting.time.RunUntil(setting.time.Now() + 700ms);
    setting.Publish(3);
    setting.time.RunUntil(setting.time.Now() + 30s);
    CHECK(setting.AllHave(3));
  }
}

// Guards against a runner that does not answer and thereby stops the rollout to
// the others.
SCENARIO("a runner does not answer")
{
  Setting setting(6);
  setting.control.runners["a-0"].fault = OrderFault::Unresponsive;
  setting.Publish(2);
  setting.time.RunUntil(setting.time.Now() + 12s);
  for (const auto& [address, runner] : setting.control.runners) {
    CHECK(runner.version == (address == "a-0" ? 1U : 2U));
  }

  WHEN("it answers again")
  {
    setting.control.runners["a-0"].fault = OrderFault::None;
    setting.time.RunUntil(setting.time.Now() + 6s);
    CHECK(setting.AllHave(2));
  }
}

// Guards against a daemon that keeps giving orders after it was fenced.
SCENARIO("a runner has seen a higher fencing number")
{
  Setting setting(6);
  for (auto& [address, runner] : setting.control.runners) {
    runner.highestFencingNumber = 8;
  }
  setting.Publish(2);
  setting.time.RunUntil(setting.time.Now() + 10s);
  CHECK(setting.leader.fenced);
  CHECK(setting.control.orders.size() <= 2);
  for (const auto& runner : setting.state.fleet.All()) {
    CHECK(runner->pausedUntil <= setting.time.Now());
  }
}

// Guards against orders to a runner that has said that it leaves and is still
// registered as ready.
SCENARIO("a runner that says that it leaves gets no orders")
{
  Setting setting(2);
  setting.control.advice["a-0"].isLeaving = true;
  setting.Publish(2);
  setting.time.RunUntil(setting.time.Now() + 5s);
  REQUIRE(setting.control.orders.size() == 1);
  CHECK(setting.control.orders[0].order.runner == UpstreamId("r-1"));
  CHECK(setting.state.fleet.Find(UpstreamId("r-0"))->leaving);
}

// Guards against orders to a runner within the time for which it wants none,
// and against a rollout that gives it up.
SCENARIO("a runner that asks for a pause gets its order afterwards")
{
  Setting setting(1);
  RoutingConfiguration configuration = MakeConfiguration();
  configuration.version = 2;
  Route route;
  route.timeout = 5s;
  configuration.routes = { route };
  setting.state.Apply(configuration, setting.time.Now());
  const TimePoint pausedAt = setting.time.Now();
  const auto runner = setting.state.fleet.Find(UpstreamId("r-0"));
  setting.state.Pause(*runner, 2s, pausedAt);
  setting.Publish(2);
  setting.time.RunUntil(pausedAt + 5s);
  REQUIRE(setting.control.orders.size() == 1);
  CHECK(setting.control.orders[0].at >= pausedAt + 2s);
  CHECK(setting.AllHave(2));
}
