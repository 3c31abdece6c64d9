#include "wigeonwalk/entry/peer_exchange.h"
#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const UpstreamId kRunner("r-1");

RunnerEntry
MakeEntry(std::int64_t aStartedAt)
{
  RunnerEntry entry;
  entry.id = kRunner;
  entry.service = ServiceName("plain");
  entry.address = "r-1";
  entry.startedAt = aStartedAt;
  return entry;
}

// Answers no queries.
struct NoChanges
{
  std::optional<std::string> Answer(const std::string&) const
  {
    return std::nullopt;
  }
};

// One daemon that exchanges notices with its peers.
struct Daemon
{
  using Peers =
    PeerExchange<NoChanges, FakePeerChannel, PlainCodec, VirtualTime, NullLog>;

  Daemon(VirtualTime& aTime, PeerNetwork& aNetwork, int aNumber, int aCount)
    : state(MakeSettings(HostOf(aNumber)))
    , endpoint(aNetwork.Add(HostOf(aNumber), "north"))
    , channel(aNetwork, endpoint)
    , peers(state, relay, channel, codec, aTime, log)
  {
    for (int i = 0; i < aCount; ++i) {
      this->state.Apply(
        EntryMember{ HostId(HostOf(i)), AvailabilityZone("north"), HostOf(i) },
        aTime.Now());
    }
    this->state.Apply(MakeEntry(100), aTime.Now());
    this->endpoint.onDatagram = [this](const PeerDatagram& aDatagram) {
      for (const PeerNotice& notice : aDatagram.notices) {
        this->marks += notice.kind == NoticeKind::Leaving ? 1 : 0;
      }
      this->peers.OnDatagram(aDatagram);
    };
    aTime.Spawn(this->peers.Run());
  }

  static std::string HostOf(int aNumber)
  {
    return "front-" + std::to_string(1'000 + aNumber);
  }

  bool Knows() const { return this->state.fleet.Find(kRunner)->leaving; }

  NullLog log;
  EntryState state;
  PeerNetwork::Endpoint& endpoint;
  FakePeerChannel channel;
  PlainCodec codec;
  NoChanges relay;
  Peers peers;
  // Marks that were received.
  std::size_t marks = 0;
};

struct Cluster
{
  explicit Cluster(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->daemons.push_back(
        std::make_unique<Daemon>(this->time, this->network, i, aCount));
    }
  }

  std::size_t Knowing() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->daemons.begin(), this->daemons.end(), [](const auto& aDaemon) {
        return aDaemon->Knows();
      }));
  }

  std::size_t Marks() const
  {
    std::size_t marks = 0;
    for (const auto& daemon : this->daemons) {
      marks += daemon->marks;
    }
    return marks;
  }

  VirtualTime time;
  PeerNetwork network{ this->time, 7 };
  std::vector<std::unique_ptr<Daemon>> daemons;
};

} // namespace

// Guards against daemons that go on sending to a runner after its word has
// reached another one, and against messages that grow with the square of the
// number of daemons.
SCENARIO("daemons tell each other which runners leave")
{
  const int count = GENERATE(2, 7, 295);
  Cluster cluster(count);
  const auto size = static_cast<std::size_t>(count);
  Daemon& first = *cluster.daemons.front();
  first.state.MarkLeaving(*first.state.fleet.Find(kRunner),
                          LeavingCause::Answer);
  const TimePoint toldAt = cluster.time.Now();
  while (cluster.Knowing() < size && cluster.time.Now() < toldAt + 5s) {
    cluster.time.RunUntil(cluster.time.Now() + 10ms);
  }
  const Duration elapsed = cluster.time.Now() - toldAt;
  CHECK(cluster.Knowing() == size);
  CHECK(elapsed <= 1s);

  THEN("each daemon sends a bounded number of messages")
  {
    cluster.time.RunUntil(toldAt + 10s);
    std::cout << "leaving marks: " << count << " daemons, all know after "
              << elapsed / 1ms << " ms, " << cluster.Marks()
              << " marks sent in 10 s\n";
    // Each new mark twelve times, and one report a second.
    CHECK(cluster.Marks() <= size * (12 + 11));
  }

  THEN("a daemon that restarts is told again")
  {
    cluster.time.RunUntil(toldAt + 5s);
    Daemon& last = *cluster.daemons.back();
    last.endpoint.onDatagram = nullptr;
    Daemon restarted(cluster.time, cluster.network, count - 1, count);
    const TimePoint startedAt = cluster.time.Now();
    cluster.time.RunUntil(startedAt + 3s);
    CHECK(restarted.Knows());
  }

  THEN("a new start of the runner is not leaving anywhere")
  {
    for (const auto& daemon : cluster.daemons) {
      daemon->state.Apply(MakeEntry(200), cluster.time.Now());
    }
    cluster.time.RunUntil(cluster.time.Now() + 5s);
    CHECK(cluster.Knowing() == 0);
  }
}
