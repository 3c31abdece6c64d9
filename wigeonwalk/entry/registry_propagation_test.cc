#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr int kDaemons = 12;
constexpr int kRunners = 6;
constexpr Duration kLength = 40s;
// The bounds of a large deployment: how long a change may take, and how long a
// host must have been undisturbed for that bound to hold.
constexpr Duration kPropagation = 3s;
constexpr Duration kContact = 4s;
constexpr Duration kStep = 50ms;

// What disturbs one daemon for some time.
enum class Disturbance
{
  // The registry refuses its calls.
  Refused,
  // Neither the registry nor other daemons answer it.
  CutOff,
  // Only the registry does not answer it.
  CutFromRegistry,
  Paused,
  // Its open connections go silent at one moment; new ones work.
  ConnectionsDead,
};

template<std::size_t N>
Disturbance
Draw(std::mt19937_64& aRandom, const std::array<Disturbance, N>& aTable)
{
  return aTable[aRandom() % N];
}

class World
{
public:
  explicit World(std::uint64_t aSeed)
    : random(aSeed)
    , service(time)
    , network(time, aSeed)
  {
    this->service.Store("config", "1");
    for (int i = 0; i < kDaemons; ++i) {
      this->service.Store("members/front-" + std::to_string(i),
                          "peer-front-" + std::to_string(i));
    }
    EntryBounds bounds;
    bounds.configurationPropagation = kPropagation;
    bounds.drain = kPropagation;
    for (int i = 0; i < kDaemons; ++i) {
      this->daemons.push_back(
        std::make_unique<RegistryDaemon>(this->time,
                                         this->service,
                                         this->network,
                                         "front-" + std::to_string(i),
                                         bounds));
      this->daemons.back()->service.SetPause(&this->pauses[i]);
    }
    this->time.Spawn(this->SendHeartbeats());
    for (int i = 0; i < kDaemons; ++i) {
      this->time.Spawn(this->Renew(i));
    }
    this->time.RunUntil(this->time.Now() + 5s);
    this->startedAt = this->time.Now();
    this->PlanChanges();
    this->PlanDisturbances();
  }

  // Plays the whole run. Returns the longest time for which a daemon that had
  // been undisturbed still used a configuration after the next one was made.
  Duration Play()
  {
    Duration worst{ 0 };
    while (this->time.Now() < this->startedAt + kLength) {
      this->time.RunUntil(this->time.Now() + kStep);
      for (int i = 0; i < kDaemons; ++i) {
        worst = std::max(worst, this->Lateness(i));
      }
    }
    return worst;
  }

private:
  struct Window
  {
    TimePoint from;
    TimePoint until;
  };

  Duration Between(Duration aLeast, Duration aMost)
  {
    return aLeast + Duration(static_cast<Duration::rep>(
                      this->random() %
                      static_cast<std::uint64_t>((aMost - aLeast).count())));
  }

  Task<void> SendHeartbeats()
  {
    while (true) {
      for (int i = 0; i < kRunners; ++i) {
        this->service.Store("runners/r-" + std::to_string(i), "ready");
        const TimePoint next = this->time.Now() + 200ms;
        co_await this->time.WaitUntil(next);
      }
    }
  }

  // Renews a lease as a member of the cluster does, which finds connections
  // that have died.
  Task<void> Renew(int aDaemon)
  {
    const Duration phase = this->Between(0s, 2'667ms);
    TimePoint next = this->time.Now() + phase;
    const std::string key = "lease";
    while (true) {
      co_await this->time.WaitUntil(next);
      FailureReason ignored;
      const TimePoint deadline = this->time.Now() + 1s;
      co_await this->daemons[aDaemon]->service.Get(key, deadline, ignored);
      next = this->time.Now() + 2'667ms;
    }
  }

  Task<void> Change(TimePoint aTime, std::uint64_t aVersion)
  {
    co_await this->time.WaitUntil(aTime);
    this->service.Store("config", std::to_string(aVersion));
  }

  void PlanChanges()
  {
    std::uint64_t version = 1;
    TimePoint at = this->startedAt;
    while (at < this->startedAt + kLength) {
      at += this->Between(100ms, 2'500ms);
      this->changedAt[++version] = at;
      this->time.Spawn(this->Change(at, version));
    }
  }

  void PlanDisturbances()
  {
    static constexpr std::array<Disturbance, 5> kAll{
      Disturbance::Refused,         Disturbance::CutOff,
      Disturbance::CutFromRegistry, Disturbance::Paused,
      Disturbance::ConnectionsDead,
    };
    this->disturbed.resize(kDaemons);
    TimePoint at = this->startedAt;
    while (at < this->startedAt + kLength) {
      at += this->Between(500ms, 6s);
      const Disturbance kind = Draw(this->random, kAll);
      const Duration length = this->Between(100ms, 6s);
      const int share = static_cast<int>(this->random() % 4);
      for (int i = 0; i < kDaemons; ++i) {
        const bool isReader = this->daemons[i]->state.isAskedForChanges;
        const bool isHit = share == 0   ? isReader
                           : share == 1 ? this->random() % 4 == 0
                           : share == 2 ? this->random() % 2 == 0
                                        : true;
        if (isHit) {
          this->Disturb(i, kind, at, length);
        }
      }
    }
  }

  void Disturb(int aDaemon,
               Disturbance aKind,
               TimePoint aFrom,
               Duration aLength)
  {
    RegistryDaemon& daemon = *this->daemons[aDaemon];
    TimePoint until = aFrom + aLength;
    switch (aKind) {
      case Disturbance::Refused:
        daemon.service.AddLinkFault(
          { .fault = KeyValueFault::Down, .from = aFrom, .until = until });
        break;
      case Disturbance::CutFromRegistry:
        daemon.service.AddLinkFault(
          { .fault = KeyValueFault::Silent, .from = aFrom, .until = until });
        break;
      case Disturbance::CutOff:
        daemon.service.AddLinkFault(
          { .fault = KeyValueFault::Silent, .from = aFrom, .until = until });
        this->time.Spawn(this->TakeOff(daemon, aFrom, until));
        break;
      case Disturbance::Paused:
        this->time.Spawn(this->Pause(aDaemon, aFrom, until));
        break;
      case Disturbance::ConnectionsDead:
        until = aFrom;
        daemon.service.AddLinkFault(
          { .fault = KeyValueFault::DeadConnection, .from = aFrom });
        break;
    }
    this->disturbed[aDaemon].push_back({ aFrom, until });
  }

  Task<void> TakeOff(RegistryDaemon& aDaemon, TimePoint aFrom, TimePoint aUntil)
  {
    co_await this->time.WaitUntil(aFrom);
    aDaemon.endpoint.alive = false;
    co_await this->time.WaitUntil(aUntil);
    aDaemon.endpoint.alive = true;
  }

  Task<void> Pause(int aDaemon, TimePoint aFrom, TimePoint aUntil)
  {
    co_await this->time.WaitUntil(aFrom);
    this->pauses[aDaemon] = { aFrom, aUntil };
    this->daemons[aDaemon]->endpoint.pausedUntil = aUntil;
  }

  bool IsUndisturbed(int aDaemon) const
  {
    const TimePoint now = this->time.Now();
    return std::none_of(this->disturbed[aDaemon].begin(),
                        this->disturbed[aDaemon].end(),
                        [now](const Window& aWindow) {
                          return aWindow.from <= now &&
                                 now <= aWindow.until + kContact;
                        });
  }

  // How long the oldest change has existed that the daemon does not use yet;
  // zero if there is none or the daemon has been disturbed.
  Duration Lateness(int aDaemon) const
  {
    if (!this->IsUndisturbed(aDaemon)) {
      return Duration(0);
    }
    const auto next =
      this->changedAt.upper_bound(this->daemons[aDaemon]->Version());
    if (next == this->changedAt.end()) {
      return Duration(0);
    }
    return std::max(Duration(0), this->time.Now() - next->second);
  }

  std::mt19937_64 random;
  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::array<ProcessPause, kDaemons> pauses;
  std::vector<std::unique_ptr<RegistryDaemon>> daemons;
  TimePoint startedAt;
  // By version.
  std::map<std::uint64_t, TimePoint> changedAt;
  // By daemon.
  std::vector<std::vector<Window>> disturbed;
};

} // namespace

// Guards against a configuration that an undisturbed daemon uses too late,
// because the daemons on which it relies are disturbed.
TEST_CASE("changes reach undisturbed daemons in time")
{
  const auto seed =
    GENERATE(range(1, 21), values({ 531, 738, 775, 1291, 1585, 1714, 2844 }));
  CAPTURE(seed);
  World world(static_cast<std::uint64_t>(seed));
  CHECK(world.Play() <= kPropagation);
}

TEST_CASE("changes reach undisturbed daemons in time, many seeds", "[.]")
{
  for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
    CAPTURE(seed);
    World world(seed);
    CHECK(world.Play() <= kPropagation);
  }
}
