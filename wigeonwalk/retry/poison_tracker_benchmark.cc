// Simulates poison requests with several seeds in virtual time. Measures how
// many upstreams they crash and how other requests are affected. Fails if a
// count exceeds its bound.
#include "wigeonwalk/retry/poison_tracker.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDaemons = 350;
// Runners of one service, which gets its part of the 6,200 requests/s on 890
// runners.
constexpr std::size_t kRunners = 40;
constexpr double kRequestsPerSecond = 6'200.0 * kRunners / 890;
constexpr Duration kStep = 20ms;
constexpr Duration kRunTime = 240s;
constexpr Duration kRestartTime = 20s;
constexpr Duration kDeadline = 60s;
// Notices of 32 bytes that fit into their part of a probe's 1,200 bytes.
constexpr std::size_t kNoticesPerProbe = 16;
constexpr std::size_t kNoticesPerPush = 36;
constexpr std::uint64_t kRuns = 5;

struct Request
{
  Fingerprint fingerprint;
  std::size_t daemon = 0;
  std::size_t runner = 0;
  RunKind kind = RunKind::Shared;
  bool poison = false;
  // When it completes or, for a poison request, crashes its runner.
  TimePoint endsAt;
};

struct Runner
{
  std::vector<Request> running;
  std::uint64_t incarnation = 1;
  TimePoint liveFrom;
};

struct PendingRequest
{
  Request request;
  TimePoint retryAt;
  TimePoint giveUpAt;
};

struct PoisonFigures
{
  std::unordered_map<Fingerprint, std::uint32_t> crashes;
  std::uint64_t othersRefused = 0;
  std::uint64_t othersRefusedAtEnd = 0;
  std::uint64_t othersRunAlone = 0;
  std::uint64_t othersGivenUp = 0;
  std::uint64_t requests = 0;
  std::uint64_t pushes = 0;
  Duration maxSpreadTime{};
};

// One service at the target rate. Each poison request crashes its runner half a
// second after its start, and its caller sends it to another daemon 2 s later
// until it is refused. Two runners crash for other reasons.
class PoisonRun
{
public:
  explicit PoisonRun(std::uint64_t aSeed)
    : random(aSeed)
    , trackers(kDaemons)
    , runners(kRunners)
  {
    for (std::size_t i = 0; i < kRunners; ++i) {
      this->names.emplace_back("runner-" + std::to_string(i));
    }
  }

  PoisonFigures Run()
  {
    const TimePoint start = this->now;
    constexpr std::array<Duration, 4> kPoisonStarts = { 20s, 50s, 80s, 110s };
    std::size_t sent = 0;
    std::size_t otherCrashes = 0;
    while (this->now < start + kRunTime) {
      this->now += kStep;
      if (sent < kPoisonStarts.size() &&
          this->now >= start + kPoisonStarts[sent]) {
        this->SendPoison(++sent);
      }
      if (otherCrashes < 2 && this->now >= start + 70s * (otherCrashes + 1)) {
        ++otherCrashes;
        this->CrashRunner(this->random() % kRunners);
      }
      this->SendArrivals();
      this->Retry();
      this->Finish();
      if ((this->now - start) % PushTick() == Duration(0)) {
        this->Push();
      }
      this->Gossip();
      this->MeasureSpread();
    }
    this->CountOthersRefused();
    return this->figures;
  }

private:
  bool Chance(double aChance)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < aChance;
  }

  void SendPoison(std::size_t aNumber)
  {
    const Fingerprint fingerprint = FingerprintOf(
      OrganisationId("poisoner"), "poison " + std::to_string(aNumber));
    this->figures.crashes[fingerprint] = 0;
    this->Send(
      { fingerprint, this->random() % kDaemons, 0, RunKind::Shared, true });
  }

  void SendArrivals()
  {
    std::poisson_distribution<int> arrivals(kRequestsPerSecond *
                                            ToSeconds(kStep));
    for (int i = arrivals(this->random); i > 0; --i) {
      ++this->figures.requests;
      const Fingerprint fingerprint{ this->random(), this->random() };
      this->Send(
        { fingerprint, this->random() % kDaemons, 0, RunKind::Shared, false });
    }
  }

  std::vector<UpstreamId> Live() const
  {
    std::vector<UpstreamId> live;
    for (std::size_t i = 0; i < kRunners; ++i) {
      if (this->runners[i].liveFrom <= this->now) {
        live.push_back(this->names[i]);
      }
    }
    return live;
  }
  std::size_t IndexOf(const UpstreamId& aName) const
  {
    return static_cast<std::size_t>(
      std::find(this->names.begin(), this->names.end(), aName) -
      this->names.begin());
  }

  void Send(Request aRequest) { this->Send(aRequest, this->now + kDeadline); }

  void Send(Request aRequest, TimePoint aGiveUpAt)
  {
    PoisonTracker& tracker = this->trackers[aRequest.daemon];
    const PoisonAdmission admission =
      tracker.Admit(aRequest.fingerprint, this->now);
    if (admission == PoisonAdmission::Refuse) {
      this->figures.othersRefused += aRequest.poison ? 0 : 1;
      return;
    }
    std::vector<UpstreamId> live = this->Live();
    if (admission == PoisonAdmission::RunAlone) {
      const std::size_t runner = this->IndexOf(
        *PoisonTracker::ChooseUpstreamForSuspect(aRequest.fingerprint, live));
      if (!this->runners[runner].running.empty()) {
        this->pending.push_back({ aRequest, this->now + 100ms, aGiveUpAt });
        return;
      }
      this->figures.othersRunAlone += aRequest.poison ? 0 : 1;
      this->StartOn(aRequest, runner, RunKind::Alone);
      return;
    }
    if (tracker.Records() > 0) {
      for (const UpstreamId& reserved :
           tracker.ReservedUpstreams(live, this->now)) {
        std::erase(live, reserved);
      }
    }
    const UpstreamId& name = live[this->random() % live.size()];
    this->StartOn(aRequest, this->IndexOf(name), RunKind::Shared);
  }

  void StartOn(Request aRequest, std::size_t aRunner, RunKind aKind)
  {
    std::uniform_real_distribution<double> seconds(3, 9);
    aRequest.runner = aRunner;
    aRequest.kind = aKind;
    aRequest.endsAt =
      this->now +
      (aRequest.poison ? Duration(500ms) : FromSeconds(seconds(this->random)));
    this->trackers[aRequest.daemon].Started(
      this->names[aRunner], aRequest.fingerprint, aKind);
    this->runners[aRunner].running.push_back(aRequest);
  }

  void Retry()
  {
    std::vector<PendingRequest> due;
    std::erase_if(this->pending, [&](const PendingRequest& aPending) {
      const bool isDue = aPending.retryAt <= this->now;
      if (isDue) {
        due.push_back(aPending);
      }
      return isDue;
    });
    for (const PendingRequest& item : due) {
      if (this->now > item.giveUpAt) {
        this->figures.othersGivenUp += item.request.poison ? 0 : 1;
        continue;
      }
      this->Send(item.request, item.giveUpAt);
    }
  }

  void Finish()
  {
    for (std::size_t i = 0; i < kRunners; ++i) {
      std::vector<Request>& running = this->runners[i].running;
      const auto poisonRequest =
        std::find_if(running.begin(), running.end(), [&](const Request& aOne) {
          return aOne.poison && aOne.endsAt <= this->now;
        });
      if (poisonRequest != running.end()) {
        ++this->figures.crashes[poisonRequest->fingerprint];
        this->CrashRunner(i);
        continue;
      }
      std::erase_if(running, [&](const Request& aOne) {
        if (aOne.endsAt > this->now) {
          return false;
        }
        this->trackers[aOne.daemon].Succeeded(
          this->names[i], aOne.fingerprint, this->now);
        return true;
      });
    }
  }

  void CrashRunner(std::size_t aRunner)
  {
    Runner& runner = this->runners[aRunner];
    const std::vector<Request> lost = std::move(runner.running);
    runner.running.clear();
    runner.liveFrom = this->now + kRestartTime;
    for (const Request& request : lost) {
      const auto refused = this->trackers[request.daemon].RecordUpstreamCrash(
        this->names[aRunner], runner.incarnation, this->now);
      for (const Fingerprint& fingerprint : refused) {
        this->refusedAt.emplace(fingerprint, this->now);
      }
      Request again = request;
      again.daemon =
        request.poison ? this->random() % kDaemons : request.daemon;
      this->pending.push_back({ again,
                                this->now + (request.poison ? 2s : 100ms),
                                this->now + kDeadline });
    }
    ++runner.incarnation;
  }

  // Each daemon probes one other per second; probe and answer carry notices.
  void Gossip()
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (!this->Chance(ToSeconds(kStep))) {
        continue;
      }
      const std::size_t peer = this->random() % kDaemons;
      this->SendNotices(i, peer);
      this->SendNotices(peer, i);
    }
  }

  static constexpr Duration PushTick() { return 3 * kStep; }

  // Each daemon pushes the notices that are new to it.
  void Push()
  {
    for (PoisonTracker& tracker : this->trackers) {
      const auto urgent = tracker.TakeUrgent(kNoticesPerPush);
      if (urgent.empty()) {
        continue;
      }
      for (std::size_t i = 0; i < PoisonTracker::kPushFanOut; ++i) {
        ++this->figures.pushes;
        PoisonTracker& peer = this->trackers[this->random() % kDaemons];
        for (const PoisonNotice& notice : urgent) {
          peer.MergeNotice(notice, this->now);
        }
      }
    }
  }

  void SendNotices(std::size_t aFrom, std::size_t aTo)
  {
    for (const PoisonNotice& notice :
         this->trackers[aFrom].TakeNotices(kNoticesPerProbe)) {
      this->trackers[aTo].MergeNotice(notice, this->now);
    }
  }

  // Measures the time until all daemons refuse what the first one refused.
  void MeasureSpread()
  {
    std::erase_if(this->refusedAt, [&](const auto& aEntry) {
      const bool everywhere =
        std::all_of(this->trackers.begin(),
                    this->trackers.end(),
                    [&](PoisonTracker& aTracker) {
                      return aTracker.Admit(aEntry.first, this->now) ==
                             PoisonAdmission::Refuse;
                    });
      if (everywhere) {
        this->figures.maxSpreadTime = std::max(
          this->figures.maxSpreadTime, Duration(this->now - aEntry.second));
      }
      return everywhere;
    });
  }

  // Counts fingerprints of non-poison requests that were refused.
  void CountOthersRefused()
  {
    for (const auto& [fingerprint, at] : this->refusedAt) {
      this->figures.othersRefusedAtEnd +=
        this->figures.crashes.contains(fingerprint) ? 0 : 1;
    }
  }

  std::mt19937_64 random;
  TimePoint now{ 24h };
  std::vector<PoisonTracker> trackers;
  std::vector<Runner> runners;
  std::vector<UpstreamId> names;
  std::vector<PendingRequest> pending;
  std::unordered_map<Fingerprint, TimePoint> refusedAt;
  PoisonFigures figures;
};

bool
CheckBound(const char* aMetric, double aValue, double aBound)
{
  const bool holds = aValue <= aBound;
  std::printf("%s %s: %.3f, bound %.3f\n",
              holds ? "ok  " : "FAIL",
              aMetric,
              aValue,
              aBound);
  return holds;
}

bool
MeasurePoison()
{
  std::uint32_t maxCrashes = 0;
  std::uint64_t refused = 0;
  std::uint64_t refusedAtEnd = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const PoisonFigures figures = PoisonRun(seed).Run();
    std::printf("seed %llu: %llu requests; upstreams crashed by each poison:",
                static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(figures.requests));
    for (const auto& [fingerprint, crashes] : figures.crashes) {
      std::printf(" %u", crashes);
      maxCrashes = std::max(maxCrashes, crashes);
    }
    std::printf("; other requests run alone %llu, given up %llu, refused %llu; "
                "refused by all daemons after at most %.1f s\n",
                static_cast<unsigned long long>(figures.othersRunAlone),
                static_cast<unsigned long long>(figures.othersGivenUp),
                static_cast<unsigned long long>(figures.othersRefused),
                ToSeconds(figures.maxSpreadTime));
    refused += figures.othersRefused;
    refusedAtEnd += figures.othersRefusedAtEnd;
  }
  bool withinBounds =
    CheckBound("upstreams crashed by one poison", maxCrashes, kMaxCrashes);
  withinBounds &= CheckBound("other requests refused", double(refused), 0);
  withinBounds &= CheckBound(
    "other fingerprints refused at the end", double(refusedAtEnd), 0);
  return withinBounds;
}

} // namespace

int
main()
{
  return MeasurePoison() ? 0 : 1;
}
