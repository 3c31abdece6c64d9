// Detects failed members with a SWIM-like protocol of probes and gossip; one
// coroutine for each peer.
//
//   FailureDetector detector(timer, channel, spawner, piggyback, table, clock,
//   7); detector.Start(seeds);
//   // for each datagram that arrives:
//   detector.OnDatagram(datagram);
#pragma once

#include "wigeonwalk/membership/member_table.h"
#include "wigeonwalk/membership/probe_piggyback.h"
#include "wigeonwalk/membership/relay_table.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Settings of the detector; see section 5.5 of the design page.
struct DetectorSettings
{
  // Each of n live peers is probed about once every n times this.
  Duration protocolPeriod = std::chrono::seconds(1);
  // Time to wait for an answer in each round. Latencies are milliseconds
  // between zones and tens of milliseconds between regions.
  Duration probeTimeout = std::chrono::milliseconds(500);
  // With 5% packet loss, one direct probe in ten fails. Three rounds, two of
  // them with three indirect probes each, leave about one false suspicion in
  // 3 × 10^7 probes.
  int rounds = 3;
  std::size_t indirectProbes = 3;
  // Interval between two probes to lost members, counted over all of them.
  Duration lostMemberProbeInterval = std::chrono::seconds(10);
  // A wait that ends later than planned by this much means that the process was
  // paused.
  Duration pauseThreshold = std::chrono::milliseconds(300);
  // If no peer has answered for this long, a random peer is probed at once.
  Duration contactTimeout = std::chrono::seconds(2);
  // Answers to probes older than this do not count as contact.
  Duration maxAnswerAge = std::chrono::seconds(5);
  // Maximum member updates in each datagram. The codec drops those that do not
  // fit.
  std::size_t maxUpdates = 10;
};

// Counters since the start, for metrics.
struct DetectorCounters
{
  std::uint64_t probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t lost = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  std::uint64_t lostMemberProbes = 0;
};

// Probes every member, suspects those that do not answer, and merges the
// updates that arrive. All arguments must outlive the coroutines, which end
// some time after Leave or with the I/O context. Not thread-safe.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
class FailureDetector
{
public:
  FailureDetector(T& aTimer,
                  C& aChannel,
                  S& aSpawner,
                  R& aPiggyback,
                  MemberTable& aTable,
                  HybridClock& aClock,
                  std::uint64_t aSeed,
                  DetectorSettings aSettings = {});

  // Starts probing the daemons known from settings and the host list, and
  // requests the full member list from one of them. May be called again with
  // new seeds.
  void Start(const std::vector<MemberUpdate>& aSeeds);

  // Handles a datagram received on the channel.
  void OnDatagram(const PeerDatagram& aDatagram);

  // Answers another daemon's MemberSync.
  MemberList OnSync(const MemberSync& aSync);

  // Sends the piggybacked data to up to `aCount` random members at once,
  // without waiting for the next probes.
  void Notify(std::size_t aCount);

  // Stops probing and announces to some members that this daemon leaves.
  void Leave();

  const DetectorCounters& Counters() const { return this->counters; }

  // Returns the latest time after which some peer is known to have been
  // reachable.
  TimePoint LastContact() const { return this->lastContact; }

private:
  // State of the coroutine of one peer.
  struct PeerTask
  {
    std::uint64_t sequence = 0;
    bool acked = false;
  };

  Task<void> RunPeer(HostId aHost);
  Task<void> ProbePeer(const HostId& aHost);
  Task<void> RunPeriodicTasks();
  Task<void> RunJoin();
  Task<bool> SleepUntil(TimePoint aTime);

  void Merge(const MemberUpdate& aUpdate);
  void EnsurePeer(const MemberUpdate& aUpdate);
  void SendProbe(const MemberUpdate& aTo, std::uint64_t aSequence);
  void RequestIndirectProbes(const MemberUpdate& aTarget,
                             std::uint64_t aSequence);
  void AnswerProbe(const PeerDatagram& aProbe);
  void HandleAck(const PeerDatagram& aAck);
  void ProbeOnBehalf(const PeerDatagram& aRequest);
  void ProbeRandomPeer();
  PeerDatagram MakeDatagram(DatagramKind aKind, const HostId& aReceiver);
  std::vector<const Member*> RandomMembers(std::size_t aCount,
                                           const HostId& aExcept);
  Duration ProbeInterval(const HostId& aHost);
  Duration AddJitter(Duration aMean);

  T& timer;
  C& channel;
  S& spawner;
  R& piggyback;
  MemberTable& table;
  HybridClock& clock;
  DetectorSettings settings;
  std::mt19937_64 random;
  std::unordered_map<HostId, PeerTask> peers;
  RelayTable relays;
  // Send times of recent probes, by sequence number.
  std::map<std::uint64_t, TimePoint> sentProbes;
  DetectorCounters counters;
  std::uint64_t nextSequence = 1;
  TimePoint lastContact;
  TimePoint lastPauseEnd;
  bool started = false;
  bool leaving = false;
};

} // namespace wigeonwalk

#include "wigeonwalk/membership/internal/failure_detector_impl.h"
