#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/entry/weight_rollout.h"
#include "wigeonwalk/testing/null_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Returns how many runners must load at once so that all of them finish within
// four fifths of the allowed time, if one takes `aLoadTime`.
constexpr std::size_t
MaxConcurrentLoads(std::size_t aRunners, Duration aAllowed, Duration aLoadTime)
{
  constexpr double kPlannedFraction = 0.8;
  const double rounds =
    kPlannedFraction * ToSeconds(aAllowed) / ToSeconds(aLoadTime);
  const double atOnce = static_cast<double>(aRunners) / std::max(rounds, 1.0);
  return std::clamp(static_cast<std::size_t>(atOnce) + 1,
                    std::size_t(1),
                    std::max<std::size_t>(MaxOutOfService(aRunners), 1));
}

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

  // Publishes versions from 2 on, one each `aInterval`. Returns how many times
  // a runner's weights had been replaced for longer than they may be used.
  std::size_t PublishSeries(int aVersions, Duration aInterval)
  {
    const TimePoint start = this->time.Now();
    const Duration usable =
      FractionOfTimeForNewWeights(this->state, kSendFraction);
    std::map<TimePoint, WeightNumber> publications;
    std::map<TimePoint, WeightNumber> limits;
    for (int i = 0; i < aVersions; ++i) {
      const TimePoint publishedAt = start + i * aInterval;
      publications[publishedAt] = static_cast<WeightNumber>(i + 2);
      limits[publishedAt + usable] = static_cast<WeightNumber>(i + 2);
    }
    std::size_t ranOut = 0;
    while (!limits.empty()) {
      if (!publications.empty() &&
          publications.begin()->first < limits.begin()->first) {
        this->time.RunUntil(publications.begin()->first);
        this->Publish(publications.begin()->second);
        publications.erase(publications.begin());
      } else {
        this->time.RunUntil(limits.begin()->first);
        ranOut += this->CountOlderThan(limits.begin()->second);
        limits.erase(limits.begin());
      }
    }
    return ranOut;
  }

  std::size_t CountOlderThan(WeightNumber aVersion) const
  {
    const auto& runners = this->control.runners;
    return static_cast<std::size_t>(
      std::count_if(runners.begin(), runners.end(), [&](const auto& aRunner) {
        return aRunner.second.version < aVersion;
      }));
  }

  // Returns true if no runner has loaded a version twice or an older one after
  // a newer one.
  bool HaveLoadedInOrder() const
  {
    const auto& runners = this->control.runners;
    return std::all_of(runners.begin(), runners.end(), [](const auto& aRunner) {
      const auto& versions = aRunner.second.loadedVersions;
      return std::is_sorted(
        versions.begin(), versions.end(), std::less_equal<>());
    });
  }

  using Rollout = WeightRollout<FakeOrderAuthority,
                                PauseRecord,
                                FakeRunnerControl,
                                VirtualTime,
                                NullLog>;

  VirtualTime time;
  FakeRunnerControl control;
  FakeOrderAuthority leader;
  PauseRecord pauses;
  NullLog log;
  EntryState state;
  std::size_t maxLoading = 0;
  Rollout rollout;
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

// Guards against a rollout that reloads runners with recent weights while
// others, on older ones, lose their requests.
SCENARIO("runners whose weights run out first load first")
{
  const int runners = GENERATE(9, 18, 71, 160);
  Setting setting(runners);
  setting.Publish(2);
  setting.time.RunUntil(setting.time.Now() + 4s);
  std::set<UpstreamId> loadedBefore;
  for (const auto& received : setting.control.orders) {
    loadedBefore.insert(received.order.runner);
  }
  setting.control.orders.clear();
  setting.Publish(3);
  setting.time.RunUntil(setting.time.Now() + 16s);
  INFO(runners << " runners, " << loadedBefore.size() << " loaded before");

  CHECK(setting.AllHave(3));
  CHECK(std::is_partitioned(setting.control.orders.begin(),
                            setting.control.orders.end(),
                            [&](const auto& aReceived) {
                              return !loadedBefore.contains(
                                aReceived.order.runner);
                            }));
}

// Guards against a pace for the whole time limit, which leaves too little time
// for the last runners after each of several publications.
SCENARIO("several publications in a short series")
{
  const int runners = GENERATE(9, 18, 71, 160);
  const Duration interval = GENERATE(Duration(4s), Duration(8'500ms));
  Setting setting(runners);
  INFO(runners << " runners, " << ToSeconds(interval) << " s apart");

  CHECK(setting.PublishSeries(3, interval) == 0);
  CHECK(setting.AllHave(4));
  CHECK(setting.HaveLoadedInOrder());
  CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
}

// Guards against a pace that does not follow from the time of slow loads.
SCENARIO("several publications while loads are slow")
{
  const int runners = GENERATE(9, 18, 71, 160);
  const Duration interval = GENERATE(Duration(4s), Duration(8'500ms));
  Setting setting(runners, 15s);
  for (auto& [address, runner] : setting.control.runners) {
    runner.loadTime = 2'500ms;
  }
  INFO(runners << " runners, " << ToSeconds(interval) << " s apart");

  CHECK(setting.PublishSeries(3, interval) == 0);
  CHECK(setting.HaveLoadedInOrder());
  CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
}

// Guards against runners that get no requests because their orders were not
// answered in time.
SCENARIO("several publications while orders are carried out late")
{
  const int runners = GENERATE(9, 18, 71, 160);
  const unsigned seed = GENERATE(1U, 2U, 3U);
  Setting setting(runners);
  constexpr double kUnanswered = 0.6;
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_real_distribution<double> delay(2, 12);
  for (auto& [address, runner] : setting.control.runners) {
    for (int order = 0; order < 100; ++order) {
      const bool answered = share(random) >= kUnanswered;
      runner.plannedFaults.push_back(
        { answered ? OrderFault::None : OrderFault::AppliedLate,
          FromSeconds(delay(random)) });
    }
  }
  INFO(runners << " runners, seed " << seed);

  // With a third of the runners loading at a time, those of the last third have
  // time for at least four orders each. This is the expected number of runners
  // whose four orders all get no answer.
  constexpr int kPublications = 3;
  const double lastThirds = kPublications * runners / 3.0;
  const double expected = lastThirds * std::pow(kUnanswered, 4);
  const std::size_t ranOut = setting.PublishSeries(kPublications, 8'500ms);
  CHECK(ranOut <= static_cast<std::size_t>(std::ceil(expected)));
  CHECK(setting.HaveLoadedInOrder());
  CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
}

// Guards against a runner that never answers and, because its weights run out
// first, takes the time of the others.
SCENARIO("several publications while a runner does not answer")
{
  const int runners = GENERATE(9, 18, 71, 160);
  Setting setting(runners);
  setting.control.runners["a-0"].fault = OrderFault::Unresponsive;
  INFO(runners << " runners");

  constexpr int kPublications = 3;
  CHECK(setting.PublishSeries(kPublications, 8'500ms) == kPublications);
  CHECK(setting.HaveLoadedInOrder());
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

// Guards against runners that get no requests although they load nothing, or
// get requests while they load, because an order was not answered.
SCENARIO("service of a runner whose orders get no answer")
{
  Setting setting(1);
  auto& runner = setting.control.runners["a-0"];
  Duration idle{ 0 };
  Duration disturbed{ 0 };
  const auto run = [&](Duration aTime) {
    constexpr Duration kStep = 10ms;
    const TimePoint end = setting.time.Now() + aTime;
    while (setting.time.Now() < end) {
      setting.time.RunUntil(setting.time.Now() + kStep);
      const bool paused = setting.pauses.paused.contains("r-0");
      const bool loads = setting.time.Now() < runner.busyUntil;
      const bool waits = runner.loadedVersions.empty();
      idle += paused && waits ? kStep : 0s;
      disturbed += !paused && loads ? kStep : 0s;
    }
  };

  WHEN("two orders are carried out after a third one")
  {
    runner.plannedFaults = { { OrderFault::AppliedLate, 8s },
                             { OrderFault::AppliedLate, 8s } };
    setting.Publish(2);
    run(20s);
    THEN("it is paused without loading only until the two calls have failed")
    {
      CHECK(setting.AllHave(2));
      CHECK(setting.HaveLoadedInOrder());
      CHECK(idle <= 2 * Setting::Rollout::kCallTimeout +
                      Setting::Rollout::kLoopInterval);
    }
  }

  WHEN("an order is carried out after the attempts were given up")
  {
    runner.plannedFaults = { { OrderFault::AppliedLate, 2'200ms },
                             { OrderFault::OrderLost },
                             { OrderFault::OrderLost } };
    setting.Publish(2);
    run(20s);
    THEN("it is paused from the next attempt on")
    {
      CHECK(setting.AllHave(2));
      CHECK(setting.HaveLoadedInOrder());
      CHECK(disturbed <=
            Setting::Rollout::kRetryDelay + Setting::Rollout::kLoopInterval);
    }
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

// Guards against a runner of two models whose older publication waits behind
// the newer one of the other model.
SCENARIO("a runner of two models loads first the weights that run out first")
{
  Setting setting(1);
  const ModelName other("z");
  const auto runner = setting.state.fleet.Find(UpstreamId("r-0"));
  runner->SetVersion(other, 1);
  setting.leader.fenced = true;
  setting.state.Apply(DesiredWeights{ other, 2 }, setting.time.Now());
  setting.time.RunUntil(setting.time.Now() + 8s);
  setting.Publish(2);
  setting.leader.fenced = false;
  const auto steps = setting.rollout.NextSteps();
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].model.Text() == other.Text());
}
