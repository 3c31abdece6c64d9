#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr int kDaemons = 30;
constexpr int kRunners = 20;

// The daemons of one zone, before runners that send heartbeats.
struct Setting
{
  Setting()
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    for (int i = 0; i < kRunners; ++i) {
      this->Beat(i);
    }
    for (int i = 0; i < kDaemons; ++i) {
      const std::string host = "front-" + std::to_string(i);
      this->service.Store("members/" + host, "peer-" + host);
      this->daemons.push_back(std::make_unique<RegistryDaemon>(
        this->time, this->service, this->network, host));
    }
    this->time.Spawn(this->SendHeartbeats());
    this->RunFor(5s);
  }

  void Beat(int aRunner)
  {
    this->service.Store("runners/r-" + std::to_string(aRunner), "ready");
  }

  Task<void> SendHeartbeats()
  {
    while (true) {
      for (int i = 0; i < kRunners; ++i) {
        this->Beat(i);
        const TimePoint next = this->time.Now() + 50ms;
        co_await this->time.WaitUntil(next);
      }
    }
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  std::vector<RegistryDaemon*> Readers()
  {
    std::vector<RegistryDaemon*> readers;
    for (const auto& daemon : this->daemons) {
      if (daemon->state.isAskedForChanges) {
        readers.push_back(daemon.get());
      }
    }
    return readers;
  }

  // The number of daemons, without the readers at the time of the call, that
  // use a configuration.
  int CountAt(std::uint64_t aVersion, const std::vector<RegistryDaemon*>& aNot)
  {
    int count = 0;
    for (const auto& daemon : this->daemons) {
      const bool excluded =
        std::find(aNot.begin(), aNot.end(), daemon.get()) != aNot.end();
      count += !excluded && daemon->Version() == aVersion ? 1 : 0;
    }
    return count;
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<RegistryDaemon>> daemons;
};

} // namespace

// Guards against calls to the registry that grow with the number of daemons,
// and against daemons that learn of changes late because of it.
SCENARIO("a few daemons of a zone read the registry for the others")
{
  Setting setting;
  const auto readers = setting.Readers();
  REQUIRE(readers.size() == 3);
  const Duration bound =
    setting.daemons[0]->state.Settings().bounds.configurationPropagation;
  const int others = kDaemons - static_cast<int>(readers.size());

  THEN("only they watch it")
  {
    const auto before = setting.service.Count(KeyValueCall::Watch);
    setting.RunFor(10s);
    const auto calls = setting.service.Count(KeyValueCall::Watch) - before;
    CHECK(calls <= 2 * 10 * readers.size() + 2);
  }

  THEN("all daemons know the runners and apply a new configuration in time")
  {
    for (const auto& daemon : setting.daemons) {
      CHECK(daemon->Runners() == kRunners);
    }
    setting.service.Store("config", "2");
    setting.service.Store("runners/r-3", "draining");
    setting.RunFor(bound);
    CHECK(setting.CountAt(2, {}) == kDaemons);
    for (const auto& daemon : setting.daemons) {
      CHECK(daemon->Runners() == kRunners - 1);
    }
  }

  WHEN("the readers can't reach the registry")
  {
    const auto fault = GENERATE(KeyValueFault::Down, KeyValueFault::Silent);
    for (RegistryDaemon* reader : readers) {
      reader->service.AddLinkFault({ .fault = fault,
                                     .from = setting.time.Now(),
                                     .until = setting.time.Now() + 10s });
    }
    setting.service.Store("config", "2");
    setting.RunFor(bound);

    THEN("the others watch it themselves and apply changes in time")
    {
      CHECK(setting.CountAt(2, readers) == others);
    }
  }

  WHEN("the readers are gone")
  {
    for (RegistryDaemon* reader : readers) {
      reader->endpoint.alive = false;
    }
    setting.service.Store("config", "2");
    setting.RunFor(bound);

    THEN("the others watch the registry themselves and apply changes in time")
    {
      CHECK(setting.CountAt(2, readers) == others);
    }
  }

  WHEN("the readers are gone after the others' connections have died")
  {
    for (const auto& daemon : setting.daemons) {
      daemon->service.AddLinkFault(
        { .fault = KeyValueFault::DeadConnection, .from = setting.time.Now() });
    }
    for (RegistryDaemon* reader : readers) {
      reader->endpoint.alive = false;
    }
    setting.service.Store("config", "2");
    setting.RunFor(bound);

    THEN("the first call of the others does not take up all of the bound")
    {
      CHECK(setting.CountAt(2, readers) == others);
    }
  }

  WHEN("one reader is paused")
  {
    readers[0]->endpoint.pausedUntil = setting.time.Now() + 5s;
    setting.service.Store("config", "2");
    setting.RunFor(bound);

    THEN("the others ask the other one")
    {
      CHECK(setting.CountAt(2, readers) == others);
    }
  }

  WHEN("the registry refuses all calls for 20 s")
  {
    setting.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = setting.time.Now(),
                               .until = setting.time.Now() + 20s });
    const auto before = setting.service.Count(KeyValueCall::Watch);
    setting.RunFor(20s);

    THEN("each daemon probes it about once a second")
    {
      const auto calls = setting.service.Count(KeyValueCall::Watch) - before;
      CHECK(calls <= (20 + 4) * kDaemons);
    }
  }

  WHEN("the registry is down for some time")
  {
    setting.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = setting.time.Now(),
                               .until = setting.time.Now() + 4s });
    setting.RunFor(3s);
    setting.service.Store("config", "2");
    setting.RunFor(1s + bound);

    THEN("all daemons know the newest configuration after its return")
    {
      CHECK(setting.CountAt(2, {}) == kDaemons);
    }

    AND_WHEN("the readers answer again")
    {
      setting.RunFor(5s);
      const auto before = setting.service.Count(KeyValueCall::Watch);
      setting.RunFor(10s);

      THEN("only they watch the registry")
      {
        const auto calls = setting.service.Count(KeyValueCall::Watch) - before;
        CHECK(calls <= 2 * 10 * readers.size() + 2);
      }
    }
  }
}
