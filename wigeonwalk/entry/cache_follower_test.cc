#include "wigeonwalk/entry/cache_follower.h"
#include "wigeonwalk/testing/fake_runner_control.h"
#include "wigeonwalk/testing/null_log.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Records which daemons were sent which parts.
struct SentParts
{
  void SendParts(const HostId& aHost, const std::vector<HeldParts>& aParts)
  {
    ++this->messageCounts[aHost];
    this->parts[aHost].insert(
      this->parts[aHost].end(), aParts.begin(), aParts.end());
  }
  std::map<HostId, int> messageCounts;
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
    this->time.Spawn(this->follower.ForwardEvents());
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

  void AddDaemons(int aCount)
  {
    for (int i = 1; i <= aCount; ++i) {
      this->state.Apply(EntryMember{ HostId("front-" + std::to_string(i)),
                                     AvailabilityZone("north"),
                                     "" },
                        this->time.Now());
    }
  }

  void AddEvent(const std::string& aHolder,
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
    batch.nextPosition = batches.size() + 1;
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
  SentParts peers;
  NullLog log;
  EntryState state;
  CacheFollower<FakeRunnerControl, SentParts, VirtualTime, NullLog> follower;
};

} // namespace

// Guards against fetches of parts that a holder does not have, or has only
// partially.
SCENARIO("a daemon knows which parts runners and stores hold")
{
  Setting setting;
  setting.AddEvent("store", 1, "a", 500);
  setting.AddEvent("r-near", 1, "b", 300);
  setting.RunFor(1s);

  THEN("it learns of new parts and of evicted ones")
  {
    CHECK(setting.TokensAt("store", "a") == 500);
    CHECK(setting.TokensAt("r-near", "b") == 300);
    setting.AddEvent("store", 1, "a", 0);
    setting.RunFor(1s);
    CHECK(setting.TokensAt("store", "a") == 0);
  }

  THEN("it follows all runners and stores, as they accept enough calls")
  {
    CHECK(setting.state.holders.contains(UpstreamId("store")));
    CHECK(setting.state.holders.contains(UpstreamId("r-near")));
    CHECK(setting.state.holders.contains(UpstreamId("r-far")));
  }

  WHEN("there is a daemon in another zone")
  {
    setting.state.Apply(
      EntryMember{ HostId("front-1"), AvailabilityZone("north"), "" },
      setting.time.Now());
    setting.state.Apply(
      EntryMember{ HostId("front-2"), AvailabilityZone("south"), "" },
      setting.time.Now());
    setting.RunFor(1s);
    setting.AddEvent("r-near", 1, "large", 800);
    setting.AddEvent("r-far", 1, "unknown", 800);
    setting.RunFor(2s);

    THEN("it gets the events of this zone's runners, and forwards those of its "
         "own")
    {
      const HostId other("front-2");
      const auto& sent = setting.peers.parts[other];
      CHECK(std::any_of(sent.begin(), sent.end(), [](const HeldParts& aParts) {
        return aParts.holder == UpstreamId("r-near") && !aParts.changes.empty();
      }));
      CHECK(std::none_of(sent.begin(), sent.end(), [](const HeldParts& aParts) {
        return aParts.holder == UpstreamId("r-far");
      }));
      CHECK(setting.TokensAt("r-far", "unknown") == 0);
    }
  }

  WHEN("the cluster is too large for events between zones")
  {
    setting.AddDaemons(13);
    setting.RunFor(1s);

    THEN("it follows the runners of its zone and all stores")
    {
      CHECK(setting.state.holders.contains(UpstreamId("store")));
      CHECK(setting.state.holders.contains(UpstreamId("r-near")));
      CHECK_FALSE(setting.state.holders.contains(UpstreamId("r-far")));
    }
  }

  WHEN("a store does not answer")
  {
    setting.control.unreachableAddresses.insert("store");
    setting.RunFor(700ms);

    THEN("it is asked less and less often")
    {
      // The two runners are asked up to five times a second each.
      setting.RunFor(3s);
      const auto before = setting.control.eventCalls;
      setting.RunFor(4s);
      CHECK(setting.control.eventCalls - before <= 2 * 5 * 4 + 3);
    }

    THEN("nothing is fetched from it")
    {
      const auto sources = setting.state.Sources(setting.time.Now());
      REQUIRE(sources.size() == 2);
      for (const CacheHolder& source : sources) {
        CHECK(source.kind == HolderKind::Runner);
      }
    }
  }

  WHEN("a store restarts")
  {
    setting.AddEvent("store", 2, "c", 100);
    setting.RunFor(EntryState::kSourceMaxAge);

    THEN("parts reported before the restart are dropped")
    {
      CHECK(setting.TokensAt("store", "a") == 0);
    }
  }

  WHEN("a runner is removed")
  {
    setting.state.ApplyRemoved(UpstreamId("r-near"), setting.time.Now());
    setting.state.ApplyRemoved(UpstreamId("r-far"), setting.time.Now());
    setting.RunFor(1s);
    CHECK(setting.TokensAt("r-near", "b") == 0);
    const auto calls = setting.control.eventCalls;
    setting.RunFor(1s);
    // Only the store is still polled.
    CHECK(setting.control.eventCalls - calls <= 5);
  }

  WHEN("the response comes from a later start of the runner")
  {
    setting.AddEvent("r-near", 1, "x", 77, 999);
    setting.RunFor(1s);
    CHECK(setting.TokensAt("r-near", "x") == 0);
  }
}

// Guards against more concurrent calls than a holder accepts, and against
// daemons that get none of its events.
SCENARIO("in a large fleet a few daemons follow each holder")
{
  Setting setting;
  setting.AddDaemons(60);
  for (int i = 0; i < 100; ++i) {
    setting.AddRunner("r-" + std::to_string(i), "north");
  }
  setting.RunFor(1s);
  const auto before = setting.control.eventCalls;
  setting.RunFor(5s);
  // 10 of 60 daemons follow each of 102 holders, with up to 4 calls a second.
  CHECK(setting.control.eventCalls - before < 35 * 4 * 5);
  CHECK(setting.control.eventCalls - before > 5 * 2 * 5);

  THEN("each follower forwards its events to about a tenth of the others")
  {
    CHECK(setting.peers.messageCounts.size() > 10);
    CHECK_FALSE(setting.peers.messageCounts.contains(HostId("front-1")));
  }

  THEN("parts received from another daemon count like a holder's own response")
  {
    const UpstreamId store("store");
    const PartKey part = KeyOfPart("salt", "told");
    ApplyHeldParts(
      setting.state, { store, 5, { { part, 700 } } }, setting.time.Now());
    CHECK(setting.state.parts.TokensAt(store, part) == 700);
    CHECK_FALSE(setting.state.Sources(setting.time.Now()).empty());

    AND_THEN("until the holder restarts")
    {
      CHECK(
        ApplyHeldParts(setting.state, { store, 6, {} }, setting.time.Now()));
      CHECK(setting.state.parts.TokensAt(store, part) == 0);
    }

    AND_THEN("or no more reports about it arrive")
    {
      CHECK(setting.state
              .Sources(setting.time.Now() + EntryState::kSourceMaxAge + 1ms)
              .empty());
    }
  }
}

// Guards against parts that are computed again because their holder leaves, and
// against a mark from an answer of another start.
SCENARIO("a leaving runner's parts stay a source while it answers")
{
  Setting setting;
  setting.AddEvent("r-near", 7, "p", 500, 100);
  setting.RunFor(300ms);
  const auto runner = setting.state.fleet.Find(UpstreamId("r-near"));

  WHEN("it says in its events that it leaves")
  {
    setting.control.advice["r-near"].isLeaving = true;
    setting.RunFor(500ms);
    REQUIRE(runner->leaving);
    setting.RunFor(3s);

    THEN("its parts can be fetched")
    {
      CHECK(setting.TokensAt("r-near", "p") == 500);
      CHECK(setting.state.Sources(setting.time.Now()).size() == 3);
    }
    THEN("they can't once it does not answer")
    {
      setting.control.unreachableAddresses = { "r-near" };
      setting.RunFor(2s);
      CHECK(setting.state.Sources(setting.time.Now()).size() == 2);
    }
  }

  WHEN("another start answers at its address")
  {
    setting.control.advice["r-near"].isLeaving = true;
    setting.control.events["r-near"].resize(40);
    for (PartEventBatch& batch : setting.control.events["r-near"]) {
      batch.epoch = 7;
      batch.startedAt = 200;
    }
    setting.RunFor(250ms);
    THEN("the registered start is not marked")
    {
      CHECK_FALSE(runner->leaving);
    }
  }
}
