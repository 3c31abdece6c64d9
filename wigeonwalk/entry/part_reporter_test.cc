#include "wigeonwalk/entry/part_reporter.h"
#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Reporter =
  PartReporter<FakePeerChannel, PlainCodec, VirtualTime, NullLog>;

// One entry daemon, as far as it concerns parts of prompts.
struct PartDaemon
{
  PartDaemon(VirtualTime& aTime,
             PeerNetwork& aNetwork,
             const std::string& aHost,
             const std::vector<EntryMember>& aMembers)
    : state(MakeSettings(aHost))
    , endpoint(aNetwork.Add("peer-" + aHost, "north"))
    , channel(aNetwork, endpoint)
    , reporter(state, channel, codec, aTime, log)
  {
    for (const EntryMember& member : aMembers) {
      this->state.Apply(member, aTime.Now());
    }
    this->endpoint.onDatagram = [this](const PeerDatagram& aDatagram) {
      for (const PeerNotice& notice : aDatagram.notices) {
        if (notice.kind == NoticeKind::PartEvidenceQuery) {
          this->reporter.OnQuery(aDatagram.sender.host);
        } else {
          this->reporter.OnEvidence(
            aDatagram.sender.host,
            *this->codec.DecodePartEvidence(notice.payload));
        }
      }
    };
  }

  NullLog log;
  EntryState state;
  PeerNetwork::Endpoint& endpoint;
  FakePeerChannel channel;
  PlainCodec codec;
  Reporter reporter;
};

// A runner that crashes when it begins to answer a request with a crashing
// part.
struct SimulatedRunner
{
  std::uint64_t incarnation = 1;
  TimePoint downUntil;
};

// Daemons and runners of one service, and callers that send requests to any
// daemon. All prompts share
// a first part, and some a second one.
class PartSimulation
{
public:
  static constexpr Duration kPrefill = 300ms;
  static constexpr Duration kRestart = 3s;
  static constexpr std::size_t kSecondParts = 100;
  static constexpr std::size_t kRunners = 18;
  static constexpr Duration kContact = 3s;

  PartSimulation(std::size_t aDaemons, double aLoss, std::uint64_t aSeed)
    : network(this->time, aSeed)
    , random(aSeed)
    , runners(kRunners)
  {
    this->network.SetDefaultLink({ 4ms, 1ms, aLoss });
    for (std::size_t i = 0; i < aDaemons; ++i) {
      const std::string host = "front-" + std::to_string(i);
      this->members.push_back(
        { HostId(host), AvailabilityZone("north"), "peer-" + host });
    }
    for (std::size_t i = 0; i < aDaemons; ++i) {
      this->daemons.emplace_back();
      this->Restart(i);
    }
    this->time.Spawn(this->ReportAll());
  }

  // Starts a daemon, which knows nothing of before.
  void Restart(std::size_t aDaemon)
  {
    this->daemons[aDaemon] =
      std::make_unique<PartDaemon>(this->time,
                                   this->network,
                                   this->members[aDaemon].host.Text(),
                                   this->members);
  }

  // Sends sound requests and some with the crashing part, at fixed intervals.
  Task<void> Play(double aPerSecond, double aCrashingShare, Duration aLength)
  {
    const TimePoint end = this->time.Now() + aLength;
    std::bernoulli_distribution isCrashing(aCrashingShare);
    while (this->time.Now() < end) {
      this->time.Spawn(this->Call(isCrashing(this->random)));
      const TimePoint next = this->time.Now() + FromSeconds(1 / aPerSecond);
      co_await this->time.WaitUntil(next);
    }
  }

  // Ends runners for another reason than a request.
  void Crash(std::size_t aFirst, std::size_t aCount)
  {
    for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
      this->End(this->runners[i]);
    }
  }

  VirtualTime time;
  std::vector<std::unique_ptr<PartDaemon>> daemons;
  // Crashes by crashing requests, and such requests that reached a runner late.
  std::vector<TimePoint> crashes;
  int lateCrashing = 0;
  int soundSent = 0;
  int soundRefused = 0;

private:
  enum class Outcome
  {
    Answered,
    Lost,
    Refused,
  };

  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      aCount - 1)(this->random);
  }

  void End(SimulatedRunner& aRunner)
  {
    ++aRunner.incarnation;
    aRunner.downUntil = this->time.Now() + kRestart;
  }

  // A caller sends its request, and again to another daemon if it is lost.
  Task<void> Call(bool aIsCrashing)
  {
    const std::uint64_t content = this->random();
    const std::string second =
      "second-" + std::to_string(this->Draw(kSecondParts));
    const ModelName model("m");
    std::vector<SharedPart> parts{ { HashOfPart(model, "system"), 2 },
                                   { HashOfPart(model, second), 1 } };
    if (aIsCrashing) {
      parts[1].hash = HashOfPart(model, "crashing");
    }
    this->soundSent += aIsCrashing ? 0 : 1;
    for (int i = 0; i < 2; ++i) {
      const Outcome outcome = co_await this->Forward(
        this->Draw(this->daemons.size()), parts, content, aIsCrashing);
      if (outcome == Outcome::Answered) {
        co_return;
      }
      this->soundRefused += !aIsCrashing && outcome == Outcome::Refused ? 1 : 0;
    }
  }

  // A daemon sends a request to up to two runners.
  Task<Outcome> Forward(std::size_t aDaemon,
                        std::vector<SharedPart> aParts,
                        std::uint64_t aContent,
                        bool aIsCrashing)
  {
    for (int i = 0; i < 2; ++i) {
      const std::size_t runner = co_await this->Pick();
      const PartStatus status =
        this->Tracker(aDaemon).StatusOf(aParts, this->time.Now());
      if (status == PartStatus::Refused) {
        co_return Outcome::Refused;
      }
      if (i > 0 && status != PartStatus::Clear) {
        break;
      }
      const Outcome outcome =
        co_await this->Attempt(aDaemon, runner, aParts, aContent, aIsCrashing);
      if (outcome == Outcome::Answered) {
        co_return outcome;
      }
    }
    co_return Outcome::Lost;
  }

  // Waits for a runner that can be used, and returns its number.
  Task<std::size_t> Pick()
  {
    while (true) {
      std::vector<std::size_t> usable;
      for (std::size_t i = 0; i < kRunners; ++i) {
        if (this->runners[i].downUntil <= this->time.Now()) {
          usable.push_back(i);
        }
      }
      if (!usable.empty()) {
        co_return usable[this->Draw(usable.size())];
      }
      const TimePoint next = this->time.Now() + 20ms;
      co_await this->time.WaitUntil(next);
    }
  }

  Task<Outcome> Attempt(std::size_t aDaemon,
                        std::size_t aRunner,
                        std::vector<SharedPart> aParts,
                        std::uint64_t aContent,
                        bool aIsCrashing)
  {
    SimulatedRunner& runner = this->runners[aRunner];
    const TimePoint sentAt = this->time.Now();
    const std::uint64_t incarnation = runner.incarnation;
    constexpr std::size_t kEnough = 5;
    if (aIsCrashing && this->crashes.size() >= kEnough &&
        sentAt > this->crashes[kEnough - 1] + kContact) {
      ++this->lateCrashing;
    }
    const Duration prefill = kPrefill / 2 + kPrefill * this->Draw(100) / 100;
    while (this->time.Now() < sentAt + prefill &&
           runner.incarnation == incarnation) {
      const TimePoint next = this->time.Now() + 20ms;
      co_await this->time.WaitUntil(next);
    }
    if (aIsCrashing && runner.incarnation == incarnation) {
      this->crashes.push_back(this->time.Now());
      this->End(runner);
    }
    const TimePoint now = this->time.Now();
    if (runner.incarnation == incarnation) {
      this->Tracker(aDaemon).RecordAnswer(aParts, now);
      co_return Outcome::Answered;
    }
    const UpstreamId upstream("r-" + std::to_string(aRunner));
    this->Tracker(aDaemon).RecordLost(
      { aParts, aContent, upstream, incarnation, sentAt }, now);
    this->daemons[aDaemon]->reporter.Report();
    co_return Outcome::Lost;
  }

  PartCrashTracker& Tracker(std::size_t aDaemon)
  {
    return this->daemons[aDaemon]->state.partCrashes;
  }

  Task<void> ReportAll()
  {
    while (true) {
      for (const auto& daemon : this->daemons) {
        daemon->reporter.Report();
      }
      const TimePoint next = this->time.Now() + 100ms;
      co_await this->time.WaitUntil(next);
    }
  }

  PeerNetwork network;
  std::mt19937_64 random;
  std::vector<SimulatedRunner> runners;
  std::vector<EntryMember> members;
};

} // namespace

// Guards against a part of prompts that goes on crashing runners because each
// daemon sees too few of the crashes, and against sound requests that are
// refused with it.
SCENARIO("requests with a crashing part come at all daemons")
{
  const std::size_t daemons = GENERATE(7, 49);
  const double share = GENERATE(0.01, 0.05, 0.5);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  INFO(daemons << " daemons, share " << share << ", seed " << seed);
  PartSimulation simulation(daemons, 0.02, seed);
  simulation.time.Spawn(simulation.Play(40, 0, 10s));
  simulation.time.RunUntil(simulation.time.Now() + 10s);
  simulation.time.Spawn(simulation.Play(40, share, 30s));

  WHEN("nothing else happens")
  {
    simulation.time.RunUntil(simulation.time.Now() + 35s);

    THEN("few of them reach runners after the fifth crash was told")
    {
      CHECK(simulation.lateCrashing <= 3);
      CHECK(simulation.soundRefused == 0);
    }
  }

  WHEN("a daemon restarts and three runners end for another reason")
  {
    simulation.time.RunUntil(simulation.time.Now() + 1s);
    simulation.Crash(4, 3);
    simulation.time.RunUntil(simulation.time.Now() + 14s);
    simulation.Restart(3);
    simulation.time.RunUntil(simulation.time.Now() + 20s);

    THEN("few of them reach runners after the fifth crash was told")
    {
      CHECK(simulation.lateCrashing <= 3);
      CHECK(simulation.soundRefused == 0);
    }
  }
}
