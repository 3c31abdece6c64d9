#include "wigeonwalk/entry/cluster_key.h"

#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// A daemon that obtains the cluster key and then follows it.
struct KeyedDaemon : RegistryDaemon
{
  KeyedDaemon(VirtualTime& aTime,
              FakeKeyValue& aService,
              PeerNetwork& aNetwork,
              const std::string& aHost)
    : RegistryDaemon(aTime, aService, aNetwork, aHost)
    , time(aTime)
  {
    aTime.Spawn(this->FollowKey());
  }

  Task<void> FollowKey()
  {
    std::string generated = "key of " + this->state.Settings().host.Text();
    this->key = co_await ObtainClusterKey(this->state,
                                          this->mirror,
                                          this->service,
                                          this->time,
                                          std::move(generated));
    while (true) {
      this->key = co_await WaitForOtherClusterKey(
        this->state, this->mirror, this->service, this->time, this->key);
      ++this->replaced;
    }
  }

  VirtualTime& time;
  std::string key;
  int replaced = 0;
};

struct KeySetting
{
  KeySetting()
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
  }

  KeyedDaemon& Start(const std::string& aHost)
  {
    this->daemons.push_back(std::make_unique<KeyedDaemon>(
      this->time, this->service, this->network, aHost));
    return *this->daemons.back();
  }

  std::string StoredKey() const
  {
    const auto item = this->service.Peek(kClusterKeyItem);
    return item ? item->value : "";
  }

  bool AllHold(const std::string& aKey) const
  {
    return std::all_of(
      this->daemons.begin(), this->daemons.end(), [&aKey](const auto& aDaemon) {
        return aDaemon->key == aKey;
      });
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<KeyedDaemon>> daemons;
};

} // namespace

SCENARIO("daemons share one cluster key")
{
  KeySetting setting;
  setting.Start("front-1");
  setting.Start("front-2");
  setting.RunFor(1s);
  const std::string key = setting.StoredKey();
  REQUIRE(!key.empty());
  REQUIRE(setting.AllHold(key));
}

// Guards against daemons that can't reach each other after a restore of the
// registry, because the cluster key was lost and a second one came into being.
SCENARIO("a cluster key that a restore lost is written again")
{
  KeySetting setting;
  setting.service.Store("members/front-1", "peer-front-1");
  setting.service.TakeCopy();
  setting.Start("front-1");
  setting.Start("front-2");
  setting.RunFor(3s);
  const std::string key = setting.StoredKey();
  REQUIRE(!key.empty());
  REQUIRE(setting.AllHold(key));
  const auto puts = setting.service.Count(KeyValueCall::Put);
  setting.service.RestoreCopy();

  THEN("a daemon that runs writes it once")
  {
    setting.RunFor(20s);
    CHECK(setting.StoredKey() == key);
    CHECK(setting.AllHold(key));
    CHECK(setting.service.Count(KeyValueCall::Put) - puts <= 2);
  }

  WHEN("a daemon starts just then")
  {
    setting.Start("front-3");
    setting.RunFor(5s);
    CHECK(setting.StoredKey() == key);
    CHECK(setting.AllHold(key));
  }

  WHEN("a daemon starts while the registry is down")
  {
    setting.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = setting.time.Now(),
                               .until = setting.time.Now() + 3s });
    setting.Start("front-3");
    setting.RunFor(8s);
    CHECK(setting.StoredKey() == key);
    CHECK(setting.AllHold(key));
  }

  WHEN("it is restored again")
  {
    setting.RunFor(GENERATE(20ms, 700ms, 3s));
    setting.service.RestoreCopy();
    setting.RunFor(5s);
    CHECK(setting.StoredKey() == key);
    CHECK(setting.AllHold(key));
  }

  WHEN("another key is written first")
  {
    setting.service.Store(kClusterKeyItem, "other");
    setting.RunFor(5s);
    THEN("all use that one")
    {
      CHECK(setting.AllHold("other"));
      CHECK(setting.daemons[0]->replaced == 1);
    }
  }
}
