#include "wigeonwalk/entry/stream_batch_writer.h"
#include "wigeonwalk/entry/stream_version_recorder.h"
#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Recorder = StreamVersionRecorder<FakeKeyValue, TestDecoder, VirtualTime>;
using Writer = StreamBatchWriter<FakeKeyValue, TestDecoder, VirtualTime>;

// Daemons of one zone before two runners of one software version.
struct Setting
{
  explicit Setting(int aDaemons)
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("runners/r-1", "ready 1000 v1");
    this->service.Store("runners/r-2", "ready 1000 v1");
    for (int i = 0; i < aDaemons; ++i) {
      const std::string host = "front-" + std::to_string(i);
      this->service.Store("members/" + host, "peer-" + host);
    }
    for (int i = 0; i < aDaemons; ++i) {
      this->Start("front-" + std::to_string(i));
    }
    this->RunFor(5s);
  }

  void Start(const std::string& aHost)
  {
    this->daemons.push_back(std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, aHost));
    RegistryDaemon& daemon = *this->daemons.back();
    this->recorders.push_back(std::make_unique<Recorder>(
      daemon.state, daemon.mirror, daemon.service, daemon.decoder, this->time));
    this->time.Spawn(this->recorders.back()->Run());
    this->writers.push_back(std::make_unique<Writer>(
      daemon.state, daemon.mirror, daemon.service, daemon.decoder, this->time));
    this->time.Spawn(this->writers.back()->Run());
  }

  // Begins streams at a daemon, 10 ms apart.
  void Begin(RegistryDaemon& aDaemon, std::uint64_t aFirst, int aCount)
  {
    const StreamOrigin origin{ ServiceName("s"), "v1" };
    for (int i = 0; i < aCount; ++i) {
      const Hash128 key{ 0, aFirst + static_cast<std::uint64_t>(i) };
      aDaemon.state.streamOrigins.Record(
        { key, origin }, UpstreamId("r-1"), this->time.Now());
      aDaemon.peers.AnnounceOrigin({ key, origin });
      this->RunFor(10ms);
    }
  }

  void Stop(RegistryDaemon& aDaemon)
  {
    aDaemon.state.stopping = true;
    aDaemon.endpoint.alive = false;
    aDaemon.service.AddLinkFault(
      { .fault = KeyValueFault::Down, .from = this->time.Now() });
  }

  // Ends all daemons and starts one.
  RegistryDaemon& Replace()
  {
    for (const auto& daemon : this->daemons) {
      this->Stop(*daemon);
    }
    this->RunFor(1s);
    this->Start("front-new");
    this->RunFor(3s);
    return *this->daemons.back();
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<RegistryDaemon>> daemons;
  std::vector<std::unique_ptr<Recorder>> recorders;
  std::vector<std::unique_ptr<Writer>> writers;
};

Task<void>
Ask(RegistryDaemon& aDaemon, Hash128 aKey, std::optional<StreamOrigin>& aFound)
{
  aFound = co_await aDaemon.peers.AskOrigin(aKey);
}

} // namespace

// Guards against take-ups that are refused because the daemon at which the
// stream began is gone, and against messages that grow with the fleet.
SCENARIO("daemons tell each other where streams began")
{
  const int count = GENERATE(2, 7, 30);
  Setting setting(count);
  RegistryDaemon& first = *setting.daemons[0];
  const StreamOrigin origin{ ServiceName("s"), "v1" };
  const Hash128 key{ 4, 5 };
  const auto before = first.endpoint.sent.datagrams;
  first.state.streamOrigins.Record(
    { key, origin }, UpstreamId("r-1"), setting.time.Now());
  first.peers.AnnounceOrigin({ key, origin });
  CHECK(first.endpoint.sent.datagrams - before <=
        std::min<std::size_t>(count - 1, 11));
  setting.RunFor(50ms);

  WHEN("it ends")
  {
    first.endpoint.alive = false;

    THEN("the others know or can be asked")
    {
      for (int i = 1; i < count; ++i) {
        RegistryDaemon& other = *setting.daemons[i];
        std::optional<StreamOrigin> found = other.state.streamOrigins.Find(key);
        if (!found) {
          setting.time.Spawn(Ask(other, key, found));
          setting.RunFor(400ms);
        }
        CHECK(found == origin);
      }
    }
  }

  WHEN("the runner turns out to have had another version")
  {
    setting.service.Store(
      "runners/r-1",
      "ready " +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         setting.time.Now().time_since_epoch())
                         .count()) +
        " v2");
    setting.RunFor(3s);
    std::optional<StreamOrigin> found;
    setting.time.Spawn(Ask(first, key, found));
    setting.RunFor(400ms);
    REQUIRE(found);
    CHECK_FALSE(found->IsKnown());
  }

  WHEN("another daemon asks for a stream that none knows")
  {
    std::optional<StreamOrigin> found;
    const Hash128 unknown{ 6, 7 };
    setting.time.Spawn(Ask(first, unknown, found));
    setting.RunFor(400ms);
    CHECK_FALSE(found);
  }
}

// Guards against streams that are joined to another version after all daemons
// were lost, and against refused take-ups where only one version is possible.
SCENARIO("the registry lists which versions begin streams")
{
  Setting setting(7);
  const StreamOrigin origin{ ServiceName("s"), "v1" };
  const auto puts = [&] { return setting.service.Count(KeyValueCall::Put); };
  REQUIRE(setting.service.Peek("streams")->value == "0 v1");
  CHECK(puts() == 1);

  WHEN("all daemons are lost")
  {
    RegistryDaemon& fresh = setting.Replace();
    CHECK(fresh.state.OnlyStreamOrigin(setting.time.Now()) == origin);
    CHECK(puts() == 1);
  }

  WHEN("runners of another version have come and gone")
  {
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(4s);
    CHECK(setting.service.Peek("streams")->value == "0 v1 v2");
    CHECK(puts() == 2);
    setting.service.Store("runners/r-3", "ready 3000 v1");
    setting.RunFor(4s);
    RegistryDaemon& fresh = setting.Replace();
    CHECK_FALSE(fresh.state.OnlyStreamOrigin(setting.time.Now()));
  }

  WHEN("the registry is restored from a copy that lacks a version")
  {
    setting.service.TakeCopy();
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(4s);
    setting.service.RestoreCopy();
    const bool allLost = GENERATE(false, true);
    CAPTURE(allLost);
    if (!allLost) {
      setting.RunFor(5s);
    }
    RegistryDaemon& fresh = setting.Replace();
    CHECK_FALSE(fresh.state.OnlyStreamOrigin(setting.time.Now()));
    setting.RunFor(5s);
    CHECK_FALSE(fresh.state.OnlyStreamOrigin(setting.time.Now()));
  }

  WHEN("the daemon that should write can't reach the registry")
  {
    for (int i = 0; i < 6; ++i) {
      setting.daemons[i]->service.AddLinkFault(
        { .fault = KeyValueFault::Down, .from = setting.time.Now() });
    }
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(9s);
    CHECK(setting.service.Peek("streams")->value == "0 v1 v2");
  }
}

// Guards against refused take-ups after all daemons were lost while several
// versions served, and against calls to the registry that grow with streams or
// daemons.
SCENARIO("the registry has records of streams while versions differ")
{
  const int count = GENERATE(3, 30);
  Setting setting(count);
  constexpr int kStreams = 100;
  const auto before = [&] { return setting.service.Count(KeyValueCall::Put); };

  WHEN("one version begins streams")
  {
    const auto puts = before();
    setting.Begin(*setting.daemons[0], 1, kStreams);
    setting.RunFor(1s);
    CHECK(before() == puts);

    THEN("they are written once another one is registered")
    {
      setting.service.Store("runners/r-3", "ready 2000 v2");
      setting.RunFor(4s);
      RegistryDaemon& fresh = setting.Replace();
      CHECK(fresh.state.streamOrigins.Size() == kStreams);
    }
  }

  WHEN("two versions do")
  {
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(4s);
    const auto puts = before();
    setting.Begin(*setting.daemons[0], 1, kStreams);
    setting.RunFor(300ms);
    const Duration span = kStreams * 10ms + 300ms;
    CHECK(before() - puts <= kStreamRecorders * (span / Writer::kInterval + 1));

    THEN("a daemon that starts when all others are lost knows them")
    {
      RegistryDaemon& fresh = setting.Replace();
      CHECK(fresh.state.streamOrigins.Size() == kStreams);
      CHECK(fresh.state.streamOrigins.Find({ 0, 1 }) ==
            StreamOrigin{ ServiceName("s"), "v1" });
    }

    THEN("the registry loses them after some time")
    {
      setting.RunFor(Writer::kTimeToLive + 1s);
      RegistryDaemon& fresh = setting.Replace();
      CHECK(fresh.state.streamOrigins.Size() == 0);
    }
  }

  WHEN("the registry is restored from a copy that lacks them")
  {
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(4s);
    setting.service.TakeCopy();
    setting.Begin(*setting.daemons[0], 1, kStreams);
    setting.RunFor(10s);
    setting.service.RestoreCopy();
    setting.RunFor(3s);

    THEN("they are written again")
    {
      RegistryDaemon& fresh = setting.Replace();
      CHECK(fresh.state.streamOrigins.Size() == kStreams);
    }
  }

  WHEN("a write fails")
  {
    setting.service.Store("runners/r-3", "ready 2000 v2");
    setting.RunFor(4s);
    setting.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = setting.time.Now(),
                               .until = setting.time.Now() + 600ms });
    setting.Begin(*setting.daemons[0], 1, 10);
    setting.RunFor(4s);
    RegistryDaemon& fresh = setting.Replace();
    CHECK(fresh.state.streamOrigins.Size() == 10);
  }
}

// Guards against records that nobody writes because their recorder is gone.
SCENARIO("another daemon writes records in place of one that is lost")
{
  Setting setting(3);
  setting.service.Store("runners/r-3", "ready 2000 v2");
  setting.RunFor(4s);
  const std::vector<HostId> recorders =
    StreamRecorders(setting.daemons[0]->state.DaemonHosts());
  RegistryDaemon* left = nullptr;
  for (const auto& daemon : setting.daemons) {
    const HostId& host = daemon->state.Settings().host;
    if (std::find(recorders.begin(), recorders.end(), host) ==
        recorders.end()) {
      left = daemon.get();
    } else {
      setting.Stop(*daemon);
    }
  }
  REQUIRE(left != nullptr);
  setting.Begin(*left, 1, 10);
  setting.RunFor(1s);

  WHEN("it learns that they are lost")
  {
    for (const HostId& host : recorders) {
      left->state.members.erase(host);
    }
    setting.RunFor(1s);
    RegistryDaemon& fresh = setting.Replace();
    CHECK(fresh.state.streamOrigins.Size() == 10);
  }
}
