#include "wigeonwalk/adapters/rollout_codec/rollout_codec.h"
#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/rollout/rollout_flow.h"
#include "wigeonwalk/testing/fake_controllable_engine.h"
#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Keeper = LeaseKeeper<FakeKeyValue, PausableTimer>;
using Flow = RolloutFlow<FakeEngineLink,
                         FakeKeyValue,
                         PausableTimer,
                         Keeper,
                         JsonRolloutCodec>;

// A site with engines that serve version v1 at first.
struct Site
{
  Site(bool aChecks, int aRunners)
    : service(time)
    , checks(aChecks)
  {
    for (int i = 0; i < aRunners; ++i) {
      this->engines.push_back(
        std::make_unique<FakeControllableEngine>(time, loads, aChecks));
      this->engines.back()->state.model = ModelName("tofu");
      this->engines.back()->state.version = WeightVersion("v1");
    }
  }

  RolloutSpec Spec(std::uint64_t aRevision,
                   const char* aVersion,
                   std::uint32_t aMinimumServing = 2) const
  {
    RolloutSpec spec;
    spec.documentRevision = aRevision;
    spec.model = ModelName("tofu");
    spec.from = WeightVersion("v1");
    spec.to = WeightVersion(aVersion);
    spec.minimumServing = aMinimumServing;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      spec.runners.emplace_back(std::to_string(i));
    }
    return spec;
  }

  // Returns the versions of all engines, "v1 v1 v2 v2".
  std::string Versions() const
  {
    std::string text;
    for (const auto& engine : this->engines) {
      text += (text.empty() ? "" : " ") + engine->state.version.Text();
    }
    return text;
  }

  VirtualTime time;
  WeightLoads loads;
  FakeKeyValue service;
  bool checks;
  std::vector<std::unique_ptr<FakeControllableEngine>> engines;
};

// A daemon that carries out the rollout while it holds the lease.
struct Holder
{
  Holder(Site& aSite, const char* aName)
    : timer(aSite.time, pause)
    , service(aSite.service.Connect())
    , keeper(service, timer, { "rollout/orders/lease", aName, 10s })
  {
    this->service.SetPause(&this->pause);
    Flow::Runners runners;
    for (std::size_t i = 0; i < aSite.engines.size(); ++i) {
      this->links.push_back(std::make_unique<FakeEngineLink>(
        *aSite.engines[i], aSite.time, this->pause));
      runners[UpstreamId(std::to_string(i))] = { this->links.back().get(),
                                                 aSite.checks };
    }
    this->flow = std::make_unique<Flow>(
      service, timer, keeper, JsonRolloutCodec(), runners, "orders");
  }

  ProcessPause pause;
  PausableTimer timer;
  FakeKeyValue service;
  Keeper keeper;
  std::vector<std::unique_ptr<FakeEngineLink>> links;
  std::unique_ptr<Flow> flow;
  std::optional<RolloutResult> end;
};

// Runs the rollout whenever the lease is held, until it is over.
Task<void>
RunWhileLeaseHeld(Holder& aHolder, RolloutSpec aSpec)
{
  while (!aHolder.end) {
    if (aHolder.keeper.FencingNumber()) {
      const RolloutResult end = co_await aHolder.flow->Run(aSpec);
      if (end != RolloutResult::LeaseLost &&
          end != RolloutResult::Unavailable) {
        aHolder.end = end;
      }
    }
    co_await aHolder.timer.WaitUntil(aHolder.timer.Now() + 500ms);
  }
}

void
Start(Site& aSite, Holder& aHolder, const RolloutSpec& aSpec)
{
  aSite.time.Spawn(aHolder.keeper.Run());
  aSite.time.Spawn(RunWhileLeaseHeld(aHolder, aSpec));
}

} // namespace

// Guards against a rollout that takes too many runners out of service,
// continues with a version that fails to load, or stops when its lease holder
// fails.
SCENARIO("a rollout loads two runners at a time", "[rollout]")
{
  Site site(true, 5);
  const TimePoint start = site.time.Now();
  Holder holder(site, "first");
  struct Case
  {
    const char* name;
    std::uint32_t minimumServing;
    // Engines on which v2 fails.
    std::vector<std::size_t> failing;
    KeyValueFault fault;
    // How long the key-value service has the fault, and how long the holder is
    // paused, both from 1.5 s on.
    Duration faultFor;
    Duration pausedFor;
    RolloutResult end;
    const char* versions;
  };
  const auto row = GENERATE(values<Case>({
    { "no faults",
      2,
      {},
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::Done,
      "v2 v2 v2 v2 v2" },
    { "one more runner than must serve",
      4,
      {},
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::Done,
      "v2 v2 v2 v2 v2" },
    { "all runners must serve",
      5,
      {},
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::Blocked,
      "v1 v1 v1 v1 v1" },
    { "first fails",
      2,
      { 0, 1 },
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::RolledBack,
      "v1 v1 v1 v1 v1" },
    { "last two fail",
      2,
      { 3, 4 },
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::RolledBack,
      "v1 v1 v1 v1 v1" },
    { "one fails",
      2,
      { 4 },
      KeyValueFault::Down,
      0s,
      0s,
      RolloutResult::Done,
      "v2 v2 v2 v2 " },
    { "service down for an hour",
      2,
      {},
      KeyValueFault::Down,
      1h,
      0s,
      RolloutResult::Done,
      "v2 v2 v2 v2 v2" },
    { "answers lost",
      2,
      {},
      KeyValueFault::AnswerLost,
      30s,
      0s,
      RolloutResult::Done,
      "v2 v2 v2 v2 v2" },
    { "holder paused for good",
      2,
      {},
      KeyValueFault::Down,
      0s,
      3h,
      RolloutResult::Done,
      "v2 v2 v2 v2 v2" },
  }));
  CAPTURE(row.name);
  for (const std::size_t i : row.failing) {
    site.engines[i]->failing.insert("v2");
  }
  site.service.AddFault(
    { row.fault, start + 1500ms, start + 1500ms + row.faultFor });
  holder.pause = { start + 1500ms, start + 1500ms + row.pausedFor };
  Start(site, holder, site.Spec(1, "v2", row.minimumServing));
  Holder other(site, "other");
  site.time.RunUntil(start + 1s);
  Start(site, other, site.Spec(1, "v2", row.minimumServing));
  std::size_t minServing = site.engines.size();
  for (TimePoint now = start; now < start + 70min; now += 100ms) {
    site.time.RunUntil(now);
    const auto serving =
      std::count_if(site.engines.begin(),
                    site.engines.end(),
                    [](const auto& aEngine) { return aEngine->Serves(); });
    minServing = std::min(minServing, static_cast<std::size_t>(serving));
  }
  CHECK(minServing >= row.minimumServing);
  REQUIRE((holder.end || other.end));
  CHECK(NameOf(holder.end.value_or(row.end)) == NameOf(row.end));
  CHECK(NameOf(other.end.value_or(row.end)) == NameOf(row.end));
  CHECK(site.Versions() == row.versions);
  CHECK(site.loads.maxLoading <= kMaxConcurrentLoads);
  RolloutState state = BeginRollout(site.Spec(1, "v2", 0));
  CHECK(NextToLoad(state).size() == kMaxConcurrentLoads);
  CHECK(NextToLoad(state).empty());
}

// Guards against runners left on an old version because an order of a paused
// holder takes effect after that of its successor.
SCENARIO("a paused holder's order never takes effect last", "[rollout]")
{
  struct Case
  {
    const char* name;
    bool checks;
    // Time from sending an order of the first holder to its arrival.
    Duration orderDelay;
    // Whether the older order may take effect last for a while, until the
    // second holder loads the runner again.
    bool redone;
  };
  const auto row = GENERATE(values<Case>({
    { "fenced, old order first", true, 2ms, false },
    { "fenced, old order last", true, 15s, false },
    { "fenced, old order minutes late", true, 90s, false },
    { "not fenced, old order first", false, 2ms, false },
    { "not fenced, old order would be last", false, 15s, false },
    { "not fenced, later than kMaxOrderDuration", false, 40s, true },
  }));
  CAPTURE(row.name);
  // The first holder starts after 500 ms and takes 13 ms to send its orders,
  // each of which takes a second. Each step pauses its process for two minutes
  // at another point: every half millisecond while it sends orders, and then
  // every second while the engines load.
  std::uint32_t oldOrders = 0;
  for (int step = 0; step <= 40; ++step) {
    Site site(row.checks, 4);
    const TimePoint start = site.time.Now();
    const Duration pausedAt =
      step < 36 ? 499ms + step * 500us : 600ms + (step - 36) * 1s;
    CAPTURE(pausedAt.count());
    Holder first(site, "first");
    Holder second(site, "second");
    first.pause = { start + pausedAt, start + pausedAt + 2min };
    for (const auto& link : first.links) {
      link->delay = row.orderDelay;
    }
    Start(site, first, site.Spec(1, "v2"));
    site.time.RunUntil(start + 100ms);
    const std::uint64_t firstNumber = first.keeper.FencingNumber().value_or(0);
    Start(site, second, site.Spec(2, "v3"));
    site.time.RunUntil(start + 10min);

    CHECK(second.end == RolloutResult::Done);
    CHECK(site.Versions() == "v3 v3 v3 v3");
    CHECK(first.end.value_or(RolloutResult::Superseded) ==
          RolloutResult::Superseded);
    for (const auto& engine : site.engines) {
      std::uint64_t highest = 0;
      for (const OrderEffect& effect : engine->effects) {
        CHECK((row.redone || effect.fencingNumber >= highest));
        highest = std::max(highest, effect.fencingNumber);
      }
      oldOrders += engine->received.contains(firstNumber) ? 1 : 0;
    }
  }
  // Some pauses came after an order had been sent.
  CHECK(oldOrders > 0);
}
