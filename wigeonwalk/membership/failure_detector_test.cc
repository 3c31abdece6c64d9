#include "wigeonwalk/membership/failure_detector.h"
#include "wigeonwalk/testing/peer_network.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Counts members that become lost; piggybacks no data.
struct LossCounter
{
  int lost = 0;

  DocumentDigest CurrentDigest(TimePoint) { return {}; }
  std::vector<PeerNotice> TakeNotices(TimePoint) { return {}; }
  void OnPiggybackedData(const PeerDatagram&, TimePoint) {}
  void OnContact(const PeerDatagram&, TimePoint) {}
  void OnMemberChange(const MemberUpdate& aUpdate, TimePoint)
  {
    this->lost += aUpdate.state == MemberState::Lost ? 1 : 0;
  }
};

MemberUpdate
MakeUpdate(int aIndex, const std::string& aZone, std::uint64_t aIncarnation)
{
  const std::string number = std::to_string(aIndex);
  return { HostId("entry-" + number),
           "10.0.0." + number + ":7000",
           AvailabilityZone(aZone),
           "south",
           aIncarnation,
           MemberState::Alive };
}

// One daemon with its failure detector.
struct Node
{
  using Detector =
    FailureDetector<EndpointTimer, FakePeerChannel, VirtualTime, LossCounter>;

  Node(VirtualTime& aTime,
       PeerNetwork& aNetwork,
       MemberUpdate aSelf,
       DetectorSettings aSettings)
    : endpoint(aNetwork.Add(aSelf.address, aSelf.zone.Text()))
    , timer(aTime, this->endpoint)
    , channel(aNetwork, this->endpoint)
    , table(aSelf)
    , detector(this->timer,
               this->channel,
               aTime,
               this->piggyback,
               this->table,
               this->clock,
               std::hash<HostId>()(aSelf.host),
               aSettings)
  {
    this->endpoint.onDatagram = [this](const PeerDatagram& aDatagram) {
      this->detector.OnDatagram(aDatagram);
    };
    this->endpoint.onCall =
      [this](PeerCall aCall) -> Task<std::optional<PeerAnswer>> {
      const MemberSync sync = std::get<MemberSync>(aCall.body);
      co_return PeerAnswer{ this->table.Self().host,
                            {},
                            this->detector.OnSync(sync) };
    };
  }

  PeerNetwork::Endpoint& endpoint;
  EndpointTimer timer;
  FakePeerChannel channel;
  LossCounter piggyback;
  HybridClock clock;
  MemberTable table;
  Detector detector;
};

// Daemons 1 to n, odd ones in zone isar and even ones in zone lech. All know
// only the first one from their settings.
struct Cluster
{
  explicit Cluster(int aCount, DetectorSettings aSettings = {})
    : settings(aSettings)
  {
    this->network.SetDefaultLink({ 4ms, 3ms, 0 });
    for (int i = 1; i <= aCount; ++i) {
      this->Start(i, 100);
    }
    this->AdvanceTime(30s);
  }

  void Start(int aIndex, std::uint64_t aIncarnation)
  {
    const std::string zone = aIndex % 2 == 1 ? "isar" : "lech";
    this->nodes.push_back(
      std::make_unique<Node>(this->time,
                             this->network,
                             MakeUpdate(aIndex, zone, aIncarnation),
                             this->settings));
    this->nodes.back()->detector.Start({ MakeUpdate(1, "isar", 0) });
  }

  void AdvanceTime(Duration aTime)
  {
    this->time.RunUntil(this->time.Now() + aTime);
  }

  Node& NodeAt(int aIndex)
  {
    return *this->nodes[static_cast<size_t>(aIndex - 1)];
  }

  MemberState StateAt(int aObserver, int aIndex)
  {
    const HostId host("entry-" + std::to_string(aIndex));
    const Member* member = this->NodeAt(aObserver).table.Find(host);
    return member ? member->update.state : MemberState::Left;
  }

  int LostCount() const
  {
    int lost = 0;
    for (const auto& node : this->nodes) {
      lost += node->piggyback.lost;
    }
    return lost;
  }

  std::uint64_t ProbeCount() const
  {
    std::uint64_t probes = 0;
    for (const auto& node : this->nodes) {
      probes += node->detector.Counters().probes;
    }
    return probes;
  }

  DetectorSettings settings;
  VirtualTime time;
  PeerNetwork network{ this->time, 20261204 };
  std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

// Guards against members that are never discovered, that become lost without a
// failure, or that stay live after a crash.
SCENARIO("daemons discover each other and detect departures", "[detector]")
{
  Cluster cluster(6);
  for (const auto& node : cluster.nodes) {
    REQUIRE(node->table.LiveCount() == 6);
  }

  WHEN("nothing fails for ten minutes")
  {
    const std::uint64_t before = cluster.ProbeCount();
    cluster.AdvanceTime(10min);
    THEN("no daemon is lost, and each sends about one probe a second")
    {
      CHECK(cluster.LostCount() == 0);
      const double rate =
        static_cast<double>(cluster.ProbeCount() - before) / 600 / 6;
      CHECK(rate > 0.8);
      CHECK(rate < 1.2);
    }
  }
  WHEN("one crashes")
  {
    cluster.NodeAt(3).endpoint.alive = false;
    cluster.AdvanceTime(20s);
    THEN("it is lost for all others")
    {
      for (const int observer : { 1, 2, 4, 5, 6 }) {
        CHECK(cluster.StateAt(observer, 3) == MemberState::Lost);
        CHECK(cluster.NodeAt(observer).table.LiveCount() == 5);
      }
    }
    AND_WHEN("its host starts a new process after its clock was set back")
    {
      cluster.Start(3, 50);
      cluster.AdvanceTime(30s);
      THEN("the new process has replaced the lost one everywhere")
      {
        for (const int observer : { 1, 2, 4, 5, 6 }) {
          CHECK(cluster.StateAt(observer, 3) == MemberState::Alive);
        }
        CHECK(cluster.nodes.back()->table.Self().incarnation > 100);
      }
    }
  }
  WHEN("one leaves")
  {
    cluster.NodeAt(3).detector.Leave();
    cluster.AdvanceTime(3s);
    THEN("it is marked as left at once and stays so")
    {
      CHECK(cluster.StateAt(1, 3) == MemberState::Left);
      cluster.AdvanceTime(60s);
      CHECK(cluster.StateAt(6, 3) == MemberState::Left);
      CHECK(cluster.LostCount() == 0);
    }
  }
}

// Guards against false positives: in each case, packet loss, delay or a pause
// must not make any daemon mark a live member as lost.
SCENARIO("packet loss and short pauses cause no lost members", "[detector]")
{
  struct Case
  {
    const char* name;
    LinkSettings betweenZones;
    bool cutPair;
    Duration pause;
  };
  const auto row = GENERATE(values<Case>({
    { "5% loss and varying delay", { 8ms, 40ms, 0.05 }, false, 0s },
    { "10% loss", { 4ms, 3ms, 0.10 }, false, 0s },
    { "a pause shorter than a suspicion", { 4ms, 3ms, 0 }, false, 2s },
  }));
  CAPTURE(row.name);
  Cluster cluster(6);
  cluster.network.SetLink("isar", "lech", row.betweenZones);
  cluster.network.SetLink("lech", "isar", row.betweenZones);
  for (int i = 0; i < 20; ++i) {
    if (row.pause > 0s) {
      cluster.NodeAt(1 + i % 6).endpoint.pausedUntil =
        cluster.time.Now() + row.pause;
    }
    cluster.AdvanceTime(1min);
  }
  CHECK(cluster.LostCount() == 0);
}

// Guards against a paused process that suspects others because it did not read
// their answers in time. With one round for each probe, only the detection of
// its own pauses prevents this.
SCENARIO("a daemon suspects nobody after its own pause", "[detector]")
{
  Cluster cluster(6, { .rounds = 1 });
  Node& paused = cluster.NodeAt(2);
  const auto before = paused.detector.Counters();

  WHEN("it resumes after a short or a long pause")
  {
    const Duration pause = GENERATE(3s, 40s, 600s);
    CAPTURE(pause.count());
    // It suspected a member just before the pause; the refutation arrives
    // during the pause.
    REQUIRE(paused.table.Suspect(HostId("entry-3"), cluster.time.Now()));
    paused.endpoint.pausedUntil = cluster.time.Now() + pause;
    cluster.AdvanceTime(pause + 20s);
    THEN("it detects the pause, loses no member and is alive for all others")
    {
      CHECK(paused.detector.Counters().pauses > before.pauses);
      CHECK(paused.piggyback.lost == 0);
      CHECK(paused.table.LiveCount() == 6);
      for (const int observer : { 1, 3, 4, 5, 6 }) {
        CHECK(cluster.StateAt(observer, 2) == MemberState::Alive);
      }
    }
  }
  WHEN("it stalls for 2 s every 3 s while answers take 400 ms")
  {
    cluster.network.SetDefaultLink({ 150ms, 50ms, 0 });
    for (int i = 0; i < 100; ++i) {
      paused.endpoint.pausedUntil = cluster.time.Now() + 2s;
      cluster.AdvanceTime(3s + i * 1ms);
    }
    THEN("it suspects nobody")
    {
      CHECK(paused.detector.Counters().suspicions == before.suspicions);
      CHECK(paused.piggyback.lost == 0);
    }
  }
}

// Guards against a network partition after which daemons stay lost, and against
// a burst of probes when the partition heals.
SCENARIO("a partition between zones heals without a burst", "[detector]")
{
  Cluster cluster(10);
  cluster.network.SetCut("isar", "lech", true);
  cluster.AdvanceTime(10min);
  REQUIRE(cluster.NodeAt(1).table.LiveCount() == 5);
  REQUIRE(cluster.NodeAt(2).table.LiveCount() == 5);

  cluster.network.SetCut("isar", "lech", false);
  double highestRate = 0;
  for (int second = 0; second < 60; ++second) {
    const std::uint64_t before = cluster.ProbeCount();
    cluster.AdvanceTime(1s);
    const auto sent = static_cast<double>(cluster.ProbeCount() - before);
    highestRate = std::max(highestRate, sent / 10);
  }
  THEN("all are live again, and the probe rate has stayed low")
  {
    for (const auto& node : cluster.nodes) {
      CHECK(node->table.LiveCount() == 10);
    }
    CHECK(highestRate < 4);
  }
}
