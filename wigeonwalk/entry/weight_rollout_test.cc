#include "wigeonwalk/entry/order_lead.h"
#include "wigeonwalk/entry/store_keeper.h"
#include "wigeonwalk/entry/weight_rollout.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/fake_runner_control.h"
#include "wigeonwalk/testing/null_log.h"
#include "wigeonwalk/testing/process_pause.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

// May always give orders.
struct AlwaysLeads
{
  std::optional<std::uint64_t> FencingNumber()
  {
    return this->fenced ? std::nullopt : std::optional<std::uint64_t>(7);
  }
  void NoteFenced() { this->fenced = true; }
  bool fenced = false;
};

// Remembers which runners paused at once.
struct PauseRecord
{
  void TellPause(const RunnerPause& aPause)
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

EntrySettings
MakeSettings(const std::string& aHost)
{
  EntrySettings settings;
  settings.host = HostId(aHost);
  settings.zone = AvailabilityZone("north");
  return settings;
}

RoutingConfiguration
MakeConfiguration()
{
  RoutingConfiguration configuration;
  configuration.version = 1;
  ServiceConfiguration service;
  service.name = ServiceName("engines");
  service.engine = EngineTraits{};
  ServiceConfiguration store;
  store.name = ServiceName("store");
  store.cacheStore =
    CacheStoreTraits{ .address = "store", .freedByCaller = true };
  configuration.services = { service, store };
  return configuration;
}

void
AddRunners(EntryState& aState, FakeRunnerControl& aControl, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    RunnerEntry entry;
    entry.id = UpstreamId("r-" + std::to_string(i));
    entry.service = ServiceName("engines");
    entry.address = "a-" + std::to_string(i);
    entry.models = { { kModel, 1 } };
    aState.Apply(entry, TimePoint());
    aControl.runners[entry.address] = {};
  }
}

// One daemon that rolls out weights.
struct Setting
{
  explicit Setting(int aRunners)
    : control(time)
    , state(MakeSettings("front-1"))
    , rollout(state, lead, pauses, control, time, log)
  {
    this->state.Apply(MakeConfiguration(), this->time.Now());
    AddRunners(this->state, this->control, aRunners);
    this->time.Spawn(this->Drive());
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
        this->mostLoading = std::max(this->mostLoading, loading + 1);
      }
      const TimePoint next = this->time.Now() + 50ms;
      co_await this->time.WaitUntil(next);
    }
  }

  void Name(WeightNumber aVersion)
  {
    this->state.Apply(NamedWeights{ kModel, aVersion }, this->time.Now());
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
  AlwaysLeads lead;
  PauseRecord pauses;
  NullLog log;
  EntryState state;
  std::size_t mostLoading = 0;
  WeightRollout<AlwaysLeads,
                PauseRecord,
                FakeRunnerControl,
                VirtualTime,
                NullLog>
    rollout;
};

} // namespace

// Guards against weights that arrive late, are loaded twice, or take too many
// runners out of service.
SCENARIO("runners are brought to newly named weights")
{
  const int runners = GENERATE(1, 2, 4, 9, 18, 60, 890);
  Setting setting(runners);
  setting.Name(2);
  const Duration allowed = setting.state.Settings().bounds.newWeights;
  setting.time.RunUntil(setting.time.Now() + allowed);
  INFO(runners << " runners");

  CHECK(setting.AllHave(2));
  CHECK(setting.Loads() == static_cast<std::uint64_t>(runners));
  CHECK(setting.pauses.paused.empty());
  CHECK(setting.mostLoading <=
        MostLoading(static_cast<std::size_t>(runners), allowed) + 1);
  if (runners >= 4) {
    CHECK(setting.pauses.most <= static_cast<std::size_t>(runners) / 3 + 1);
  }
}

// Guards against an order that counts twice, or whose late copy takes a runner
// back to older weights.
SCENARIO("orders without an answer")
{
  const auto fault = GENERATE(
    OrderFault::AnswerLost, OrderFault::OrderLost, OrderFault::AppliedLate);
  Setting setting(4);
  for (auto& [address, runner] : setting.control.runners) {
    runner.fault = fault;
  }
  setting.Name(2);

  WHEN("the weights stay the newest")
  {
    setting.time.RunUntil(setting.time.Now() + 20s);
    CHECK(setting.AllHave(2));
    CHECK(setting.Loads() == 4);
  }

  WHEN("newer weights are named in between")
  {
    setting.time.RunUntil(setting.time.Now() + 700ms);
    setting.Name(3);
    setting.time.RunUntil(setting.time.Now() + 30s);
    CHECK(setting.AllHave(3));
  }
}

// Guards against orders to a runner that is not there, and against one dark
// runner that stops the rest.
SCENARIO("a runner does not answer")
{
  Setting setting(6);
  setting.control.runners["a-0"].fault = OrderFault::Dark;
  setting.Name(2);
  setting.time.RunUntil(setting.time.Now() + 12s);
  for (const auto& [address, runner] : setting.control.runners) {
    CHECK(runner.version == (address == "a-0" ? 1U : 2U));
  }

  WHEN("it is back")
  {
    setting.control.runners["a-0"].fault = OrderFault::None;
    setting.time.RunUntil(setting.time.Now() + 6s);
    CHECK(setting.AllHave(2));
  }
}

// Guards against a holder that goes on after it was refused.
SCENARIO("a runner has seen a higher fencing number")
{
  Setting setting(6);
  for (auto& [address, runner] : setting.control.runners) {
    runner.highestFence = 8;
  }
  setting.Name(2);
  setting.time.RunUntil(setting.time.Now() + 10s);
  CHECK(setting.lead.fenced);
  CHECK(setting.control.orders.size() <= 2);
  for (const auto& runner : setting.state.fleet.All()) {
    CHECK(runner->pausedUntil <= setting.time.Now());
  }
}

namespace {

// A daemon that tries for the lease on orders.
struct Candidate
{
  Candidate(VirtualTime& aTime, FakeKeyValue& aService, std::string aHost)
    : timer(aTime, pause)
    , service(aService.Connect())
    , state(MakeSettings(aHost))
    , lead(state, mirror, service, timer, log)
  {
    this->service.SetPause(&this->pause);
    this->state.Apply(MakeConfiguration(), aTime.Now());
    this->state.registryAway = false;
    for (const char* host : { "front-1", "front-2", "front-3" }) {
      this->state.Apply(
        EntryMember{ HostId(host), AvailabilityZone("north"), "" },
        aTime.Now());
    }
  }

  // Copies the registry into the mirror, as a watch would.
  void Look(const FakeKeyValue& aService)
  {
    for (const WatchEvent& change : aService.Changes("wigeonwalk/")) {
      this->mirror.Apply(change);
    }
  }

  ProcessPause pause;
  PausableTimer timer;
  FakeKeyValue service;
  ItemMirror mirror;
  NullLog log;
  EntryState state;
  OrderLead<FakeKeyValue, PausableTimer, NullLog> lead;
};

// The daemons of a cluster, looked at every 20 ms.
struct Cluster
{
  Cluster()
    : service(time)
  {
    for (const char* host : { "front-1", "front-2", "front-3" }) {
      this->candidates.push_back(
        std::make_unique<Candidate>(this->time, this->service, host));
      this->time.Spawn(this->candidates.back()->lead.Run());
    }
  }

  // Runs for a while. Returns the most holders seen at once; records when each
  // holder was first and last entitled.
  int RunFor(Duration aSpan)
  {
    const TimePoint end = this->time.Now() + aSpan;
    int most = 0;
    while (this->time.Now() < end) {
      this->time.RunUntil(this->time.Now() + 20ms);
      int holders = 0;
      for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        Candidate& candidate = *this->candidates[i];
        if (!this->cut.contains(i)) {
          candidate.Look(this->service);
        }
        if (const auto number = candidate.lead.FencingNumber()) {
          ++holders;
          this->Note(i, *number);
        }
      }
      most = std::max(most, holders);
    }
    return most;
  }

  void Note(std::size_t aCandidate, std::uint64_t aNumber)
  {
    if (this->terms.empty() || this->terms.back().holder != aCandidate ||
        this->terms.back().number != aNumber) {
      this->terms.push_back({ aCandidate, aNumber, this->time.Now(), {} });
    }
    this->terms.back().until = this->time.Now();
  }

  struct Term
  {
    std::size_t holder = 0;
    std::uint64_t number = 0;
    TimePoint from;
    TimePoint until;
  };

  VirtualTime time;
  FakeKeyValue service;
  std::vector<std::unique_ptr<Candidate>> candidates;
  std::set<std::size_t> cut;
  std::vector<Term> terms;
};

} // namespace

// Guards against two daemons that give orders at once or take turns too fast,
// and against none that does.
SCENARIO("one daemon at a time gives orders")
{
  Cluster cluster;
  CHECK(cluster.RunFor(3s) == 1);
  REQUIRE(cluster.terms.size() == 1);
  const std::size_t first = cluster.terms[0].holder;

  WHEN("nothing fails")
  {
    CHECK(cluster.RunFor(20s) == 1);
    CHECK(cluster.terms.size() == 1);
  }

  const Duration lease = MakeSettings("front-1").bounds.orderLease;
  WHEN("the holder is cut off from the registry")
  {
    cluster.candidates[first]->service.AddLinkFault(
      { .fault = KeyValueFault::Down, .from = cluster.time.Now() });
    cluster.candidates[first]->state.registryAway = true;
    cluster.cut.insert(first);
    CHECK(cluster.RunFor(12s) == 1);

    THEN("another one follows, later than the deployment's least time")
    {
      REQUIRE(cluster.terms.size() == 2);
      CHECK(cluster.terms[1].holder != first);
      CHECK(cluster.terms[1].number > cluster.terms[0].number);
      CHECK(cluster.terms[1].from - cluster.terms[0].until >= lease);
      CHECK(cluster.terms[1].from - cluster.terms[0].until <= 2 * lease);
    }
  }

  WHEN("the holder freezes and wakes up")
  {
    const TimePoint now = cluster.time.Now();
    cluster.candidates[first]->pause = { now, now + 7s };
    cluster.RunFor(5s);

    THEN("it finds its lease lost")
    {
      CHECK(cluster.RunFor(10s) <= 1);
      CHECK(cluster.terms.back().holder != first);
    }
  }

  WHEN("the registry is down for a while")
  {
    cluster.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = cluster.time.Now(),
                               .until = cluster.time.Now() + 5s });
    CHECK(cluster.RunFor(15s) == 1);

    THEN("orders are given again afterwards")
    {
      CHECK(cluster.terms.back().until + 1s > cluster.time.Now());
    }
  }
}

// Guards against freeing cache that a request may still fetch, and against
// stores that stay full of cache that none can use.
SCENARIO("stores are freed of old weights")
{
  VirtualTime time;
  FakeRunnerControl control(time);
  EntryState state(MakeSettings("front-1"));
  AlwaysLeads lead;
  NullLog log;
  state.Apply(MakeConfiguration(), time.Now());
  AddRunners(state, control, 2);
  PartListing& listing = control.listings["store"];
  listing.whole = { { { CacheSalt(kModel, 1, ""), "old" }, 100 },
                    { { CacheSalt(kModel, 2, ""), "new" }, 100 },
                    { { "foreign", "x" }, 100 } };
  listing.partial = { { CacheSalt(kModel, 1, "wall"), "broken" } };
  StoreKeeper keeper(state, lead, control, time, log);
  time.Spawn(keeper.Run());
  const auto load = [&](const char* aRunner) {
    state.fleet.Find(UpstreamId(aRunner))->SetVersion(kModel, 2);
  };
  time.RunUntil(time.Now() + 5s);
  CHECK(control.freed.empty());

  WHEN("one runner still has the old weights")
  {
    load("r-0");
    time.RunUntil(time.Now() + 20s);
    CHECK(control.freed.empty());
  }

  WHEN("all runners have the new ones")
  {
    load("r-0");
    load("r-1");
    time.RunUntil(time.Now() + 900ms);
    CHECK(control.freed.empty());
    time.RunUntil(time.Now() + 2s);

    THEN("what is older is freed, and nothing else")
    {
      CHECK(control.freed ==
            std::vector<std::string>{
              "store " + CacheSalt(kModel, 1, "") + " old",
              "store " + CacheSalt(kModel, 1, "wall") + " broken" });
    }
  }

  WHEN("this daemon may not give orders")
  {
    lead.fenced = true;
    load("r-0");
    load("r-1");
    time.RunUntil(time.Now() + 10s);
    CHECK(control.freed.empty());
  }
}
