#include "wigeonwalk/entry/cache_follower.h"
#include "wigeonwalk/testing/fake_runner_control.h"
#include "wigeonwalk/testing/null_log.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Remembers which daemons were told.
struct ToldParts
{
  void TellParts(const HostId& aHost, const std::vector<HeldParts>& aParts)
  {
    ++this->told[aHost];
    this->parts[aHost].insert(
      this->parts[aHost].end(), aParts.begin(), aParts.end());
  }
  std::map<HostId, int> told;
  std::map<HostId, std::vector<HeldParts>> parts;
};

// A daemon that follows one runner and one store.
struct Setting
{
  Setting()
    : control(time)
    , state(Settings())
    , follower(state, control, peers, time, log)
  {
    RoutingConfiguration configuration;
    configuration.version = 1;
    ServiceConfiguration engines;
    engines.name = ServiceName("engines");
    engines.engine = EngineTraits{ .eventCalls = 12 };
    ServiceConfiguration store;
    store.name = ServiceName("store");
    store.cacheStore = CacheStoreTraits{ .address = "store",
                                         .cacheTokens = 1'000,
                                         .eventCalls = 12 };
    configuration.services = { engines, store };
    this->state.Apply(configuration, this->time.Now());
    this->AddRunner("r-near", "north");
    this->AddRunner("r-far", "south");
    this->time.Spawn(this->Drive());
    this->time.Spawn(this->follower.TellOthers());
  }

  static EntrySettings Settings()
  {
    EntrySettings settings;
    settings.host = HostId("front-1");
    settings.zone = AvailabilityZone("north");
    return settings;
  }

  void AddRunner(const std::string& aId, const std::string& aZone)
  {
    RunnerEntry entry;
    entry.id = UpstreamId(aId);
    entry.service = ServiceName("engines");
    entry.address = aId;
    entry.zone = AvailabilityZone(aZone);
    entry.startedAt = 100;
    this->state.Apply(entry, this->time.Now());
  }

  Task<void> Drive()
  {
    while (true) {
      for (const UpstreamId& holder : this->follower.Reconcile()) {
        this->time.Spawn(this->follower.Follow(holder));
      }
      const TimePoint next = this->time.Now() + 200ms;
      co_await this->time.WaitUntil(next);
    }
  }

  void Tell(const std::string& aHolder,
            std::int64_t aEpoch,
            const std::string& aPart,
            std::uint32_t aTokens,
            std::int64_t aStartedAt = 0)
  {
    auto& batches = this->control.events[aHolder];
    PartEventBatch batch;
    batch.epoch = aEpoch;
    batch.startedAt = aStartedAt;
    batch.events = { { { "salt", aPart }, aTokens } };
    batch.next = batches.size() + 1;
    batches.push_back(batch);
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  std::uint32_t TokensAt(const std::string& aHolder, const std::string& aPart)
  {
    return this->state.parts.TokensAt(UpstreamId(aHolder),
                                      KeyOfPart("salt", aPart));
  }

  VirtualTime time;
  FakeRunnerControl control;
  ToldParts peers;
  NullLog log;
  EntryState state;
  CacheFollower<FakeRunnerControl, ToldParts, VirtualTime, NullLog> follower;
};

} // namespace

// Guards against fetches of parts that are not there, or no longer whole.
SCENARIO("a daemon knows what runners and stores hold")
{
  Setting setting;
  setting.Tell("store", 1, "a", 500);
  setting.Tell("r-near", 1, "b", 300);
  setting.RunFor(1s);

  THEN("it learns of parts, and of their loss")
  {
    CHECK(setting.TokensAt("store", "a") == 500);
    CHECK(setting.TokensAt("r-near", "b") == 300);
    setting.Tell("store", 1, "a", 0);
    setting.RunFor(1s);
    CHECK(setting.TokensAt("store", "a") == 0);
  }

  THEN("it follows runners of its zone only, and every store")
  {
    CHECK(setting.state.holders.contains(UpstreamId("store")));
    CHECK(setting.state.holders.contains(UpstreamId("r-near")));
    CHECK_FALSE(setting.state.holders.contains(UpstreamId("r-far")));
  }

  WHEN("a store does not answer")
  {
    setting.control.dark.insert("store");
    setting.RunFor(700ms);

    THEN("nothing is fetched from it")
    {
      const auto sources = setting.state.Sources(setting.time.Now());
      REQUIRE(sources.size() == 1);
      CHECK(sources[0].id == UpstreamId("r-near"));
    }
  }

  WHEN("a store restarts")
  {
    setting.Tell("store", 2, "c", 100);
    setting.RunFor(EntryState::kSourceFresh);

    THEN("nothing of before counts any more")
    {
      CHECK(setting.TokensAt("store", "a") == 0);
    }
  }

  WHEN("a runner is gone")
  {
    setting.state.ApplyRemoved(UpstreamId("r-near"), setting.time.Now());
    setting.RunFor(1s);
    CHECK(setting.TokensAt("r-near", "b") == 0);
    const auto calls = setting.control.eventCalls;
    setting.RunFor(1s);
    // Only the store is asked still.
    CHECK(setting.control.eventCalls - calls <= 5);
  }

  WHEN("another start of the runner answers")
  {
    setting.Tell("r-near", 1, "x", 77, 999);
    setting.RunFor(1s);
    CHECK(setting.TokensAt("r-near", "x") == 0);
  }
}

// Guards against more calls at a holder than it takes, and against daemons that
// learn nothing of it.
SCENARIO("in a large fleet few daemons follow each holder and tell the others")
{
  Setting setting;
  for (int i = 1; i <= 60; ++i) {
    setting.state.Apply(EntryMember{ HostId("front-" + std::to_string(i)),
                                     AvailabilityZone("north"),
                                     "" },
                        setting.time.Now());
  }
  for (int i = 0; i < 100; ++i) {
    setting.AddRunner("r-" + std::to_string(i), "north");
  }
  setting.RunFor(1s);
  const auto before = setting.control.eventCalls;
  setting.RunFor(5s);
  // 10 of 60 daemons follow each of 102 holders, with up to 4 calls a second.
  CHECK(setting.control.eventCalls - before < 35 * 4 * 5);
  CHECK(setting.control.eventCalls - before > 5 * 2 * 5);

  THEN("each holder's parts are told to one in ten of the others")
  {
    CHECK(setting.peers.told.size() > 10);
    CHECK_FALSE(setting.peers.told.contains(HostId("front-1")));
  }

  THEN("what another daemon tells counts like an own answer")
  {
    const UpstreamId store("store");
    const PartKey part = KeyOfPart("salt", "told");
    TakeHeldParts(
      setting.state, { store, 5, { { part, 700 } } }, setting.time.Now());
    CHECK(setting.state.parts.TokensAt(store, part) == 700);
    CHECK_FALSE(setting.state.Sources(setting.time.Now()).empty());

    AND_THEN("until the holder restarts")
    {
      CHECK(TakeHeldParts(setting.state, { store, 6, {} }, setting.time.Now()));
      CHECK(setting.state.parts.TokensAt(store, part) == 0);
    }

    AND_THEN("or is not heard of any more")
    {
      CHECK(setting.state
              .Sources(setting.time.Now() + EntryState::kSourceFresh + 1ms)
              .empty());
    }
  }
}
