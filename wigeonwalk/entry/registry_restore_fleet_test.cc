#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr int kRunners = 4;

// The daemons of one zone, before runners that send heartbeats while the
// registry is reachable. A change of everything follows the copy.
struct Setting
{
  explicit Setting(int aDaemons)
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("weights/m", "1");
    this->service.Store("runners/left", "ready 100");
    for (int i = 0; i < aDaemons; ++i) {
      const std::string host = "front-" + std::to_string(i);
      this->service.Store("members/" + host, "peer-" + host);
      this->daemons.push_back(std::make_unique<RegistryDaemon>(
        this->time, this->service, this->network, host));
    }
    this->time.Spawn(this->SendHeartbeats());
    this->time.Spawn(this->WatchVersions());
    this->RunFor(5s);
    this->service.TakeCopy();
    this->alive.insert("runners/new");
    this->service.Store("config", "2");
    this->service.Store("weights/m", "2");
    this->service.Store("runners/left", "draining 100");
    this->RunFor(2s);
    this->Erase("runners/left");
    this->RunFor(2s);
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  void Erase(const std::string& aKey)
  {
    this->time.Spawn([](FakeKeyValue aService,
                        VirtualTime& aTime,
                        std::string aErased) -> Task<> {
      FailureReason why;
      const TimePoint deadline = aTime.Now() + 1s;
      co_await aService.Delete(aErased, std::nullopt, deadline, why);
    }(this->service.Connect(), this->time, aKey));
  }

  Task<> SendHeartbeats()
  {
    for (int i = 0; i < kRunners; ++i) {
      this->alive.insert("runners/r-" + std::to_string(i));
    }
    while (true) {
      const std::set<std::string> beating = this->alive;
      for (const std::string& key : beating) {
        if (this->time.Now() >= this->downUntil) {
          this->service.Store(key, "ready 100");
        }
        const TimePoint next = this->time.Now() + 200ms;
        co_await this->time.WaitUntil(next);
      }
    }
  }

  // Records whether a daemon's configuration ever became older.
  Task<> WatchVersions()
  {
    std::vector<std::uint64_t> highest(this->daemons.size(), 0);
    while (true) {
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const std::uint64_t version = this->daemons[i]->Version();
        this->becameOlder |= version < highest[i];
        highest[i] = std::max(highest[i], version);
      }
      const TimePoint next = this->time.Now() + 10ms;
      co_await this->time.WaitUntil(next);
    }
  }

  // Makes the registry unreachable for some time, after which it is restored.
  void Restore(Duration aOutage)
  {
    this->downUntil = this->time.Now() + aOutage;
    this->service.AddFault({ .fault = KeyValueFault::Down,
                             .from = this->time.Now(),
                             .until = this->downUntil });
    this->RunFor(aOutage);
    this->service.RestoreCopy();
  }

  // The number of daemons for which all is as at the end of the story.
  std::size_t CountRight(std::uint64_t aVersion) const
  {
    std::size_t count = 0;
    for (const auto& daemon : this->daemons) {
      const auto usable =
        daemon->state.Candidates(ServiceName("s"), {}, this->time.Now());
      const auto weights = daemon->state.WeightsOf(ModelName("m")).Newest();
      count += daemon->Version() == aVersion && weights.version == 2 &&
                   usable.size() == kRunners + 1
                 ? 1
                 : 0;
    }
    return count;
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<RegistryDaemon>> daemons;
  std::set<std::string> alive;
  TimePoint downUntil;
  bool becameOlder = false;
};

// One row of the table: times of further restores after the first, and for how
// long the first daemon is then cut off.
struct Row
{
  Duration outage;
  std::vector<Duration> further;
  Duration cut{ 0 };
};

} // namespace

// Guards against daemons that differ from each other after a restore.
SCENARIO("daemons agree after restores of the registry")
{
  const int daemons = GENERATE(2, 6);
  const Row row = GENERATE(Row{ 0s, {} },
                           Row{ 500ms, {} },
                           Row{ 2s, {} },
                           Row{ 6s, {} },
                           Row{ 0s, { 3ms } },
                           Row{ 0s, { 205ms, 150ms } },
                           Row{ 500ms, { 1s, 1s, 1s } },
                           Row{ 2s, { 203ms } },
                           Row{ 0s, {}, 5s },
                           Row{ 0s, { 2s }, 5s },
                           Row{ 2s, {}, 5s },
                           Row{ 6s, { 1s }, 5s });
  CAPTURE(daemons, row.outage.count(), row.further.size(), row.cut.count());
  Setting setting(daemons);
  const std::size_t all = setting.daemons.size();
  REQUIRE(setting.CountRight(2) == all);

  const TimePoint cutUntil = setting.time.Now() + row.outage + row.cut;
  const bool cutsFirst = GENERATE(false, true);
  RegistryDaemon& cut =
    cutsFirst ? *setting.daemons.front() : *setting.daemons.back();
  cut.service.AddLinkFault({ .fault = KeyValueFault::Down,
                             .from = setting.time.Now(),
                             .until = cutUntil });
  setting.Restore(row.outage);
  for (const Duration pause : row.further) {
    setting.RunFor(pause);
    setting.service.RestoreCopy();
  }
  setting.RunFor(500ms);
  setting.service.Store("config", "2");
  setting.RunFor(500ms);
  setting.service.Store("config", "3");
  setting.service.Store("weights/m", "2");
  setting.RunFor(2s);
  CHECK(setting.CountRight(3) >= (row.cut == 0s ? all : all - 1));
  setting.Erase("runners/left");
  setting.RunFor(5s);
  CHECK(setting.CountRight(3) == all);
  CHECK(!setting.becameOlder);
}

// Guards against a restore that all daemons of a large zone answer with a full
// read of the registry.
SCENARIO("the daemons of a large zone learn of a restore")
{
  constexpr std::size_t kDaemons = 30;
  Setting setting(kDaemons);
  std::size_t readers = 0;
  for (const auto& daemon : setting.daemons) {
    readers += daemon->state.isAskedForChanges ? 1 : 0;
  }
  REQUIRE(readers == 3);
  REQUIRE(setting.CountRight(2) == kDaemons);
  const Duration outage = GENERATE(0ms, 500ms, 2s, 6s);
  CAPTURE(outage.count());
  const auto before = setting.service.Count(KeyValueCall::List);
  setting.Restore(outage);
  setting.service.Store("config", "3");
  setting.RunFor(
    setting.daemons[0]->state.Settings().bounds.configurationPropagation);
  CHECK(setting.CountRight(3) == kDaemons);
  setting.RunFor(2s);
  CHECK(setting.CountRight(3) == kDaemons);
  CHECK(!setting.becameOlder);

  THEN("each has read the registry at most once")
  {
    const auto reads = setting.service.Count(KeyValueCall::List) - before;
    CHECK(reads <= kDaemons);
  }
}

// Guards against daemons that take the time of a listing for the time at which
// weights were published.
SCENARIO("weights are named before the restored registry is read")
{
  Setting setting(6);
  setting.Restore(0ms);
  setting.service.Store("weights/m", "3");
  setting.RunFor(2s);
  for (const auto& daemon : setting.daemons) {
    const WeightHistory& known = daemon->state.WeightsOf(ModelName("m"));
    CHECK(known.Knows(3));
    CHECK(!known.IsExact(3));
    CHECK(known.IsExact(2));
  }
}
