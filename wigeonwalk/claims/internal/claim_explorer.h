// Runs the claim protocol under randomised, seeded schedules in virtual time.
//
//   ClaimExplorer<> explorer(17);
//   const ExplorerResult result = explorer.Run();
//   CHECK(result.doubleRuns == 0);
#pragma once

#include "wigeonwalk/claims/claim_log.h"
#include "wigeonwalk/claims/internal/fake_key_value.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace wigeonwalk {

// Result of one schedule.
struct ExplorerResult
{
  // Keys that two calls held at the same time, and keys whose call ran twice.
  std::uint64_t doubleGrants = 0;
  std::uint64_t doubleRuns = 0;
  // Claims left in the log that were not granted to any call. Their callers
  // were told that the call did not run, so the process must release them
  // unless it was killed.
  std::uint64_t orphanedClaims = 0;
  // Keys whose final state was checked for such claims.
  std::uint64_t checkedKeys = 0;
  std::uint64_t calls = 0;
  std::uint64_t granted = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t tooOld = 0;
  // Counters of the log, which show that the schedules exercise these paths.
  std::uint64_t conflicts = 0;
  std::uint64_t durableAfterWithdrawal = 0;
  std::uint64_t discarded = 0;
};

// Three processes with different clock offsets write to one shard. Calls with
// new and old keys arrive at random times. Holders wait between the grant and
// the run, and release or finish their claims. Processes are paused, or killed
// and replaced. The service loses answers, delays writes and has outages. Small
// segments and a short window cause frequent trimming.
template<bool Compares = true>
class ClaimExplorer
{
public:
  explicit ClaimExplorer(std::uint64_t aSeed)
    : random(aSeed)
    , service(this->time, aSeed + 1, this->ChooseFaults())
    , hasCrashes(this->RandomBool(0.5))
  {
    for (std::size_t i = 0; i < this->activeWriters.size(); ++i) {
      this->Start(i);
    }
  }

  ExplorerResult Run()
  {
    for (std::uint32_t phase = 0; phase < kPhaseCount; ++phase) {
      const TimePoint end = this->time.Now() + kPhaseDuration;
      this->time.Spawn(this->GenerateCalls(end));
      this->time.Spawn(this->InjectFaults(end));
      this->time.RunUntil(end);
      for (Writer* writer : this->activeWriters) {
        writer->process.Resume();
      }
      this->time.RunUntil(end + kQuietDuration);
      this->CheckLog();
    }
    for (const auto& process : this->writers) {
      const ClaimLogCounts counts = process->log.Counts();
      this->result.conflicts += counts.conflicts;
      this->result.durableAfterWithdrawal += counts.durableAfterWithdrawal;
      this->result.discarded += counts.discarded;
    }
    return this->result;
  }

private:
  using Service = FakeKeyValue<Compares>;
  using Client = FakeKeyValueClient<Service>;

  // Each phase is followed by a time without new calls and faults, after which
  // the log is checked.
  static constexpr std::uint32_t kPhaseCount = 2;
  static constexpr Duration kPhaseDuration = std::chrono::minutes(7);
  static constexpr Duration kQuietDuration = std::chrono::seconds(30);
  static constexpr Duration kLongestPause = std::chrono::minutes(5);
  static constexpr Duration kWindow = std::chrono::minutes(2);
  static constexpr std::uint32_t kShard = 5;

  struct Writer
  {
    Writer(VirtualTime& aTime,
           Service& aService,
           Duration aSkew,
           std::uint64_t aIncarnation)
      : process(aTime, aSkew)
      , client(aService, this->process)
      , log(this->client,
            this->process,
            aTime.Context().get_executor(),
            HostId("daemon"),
            aIncarnation,
            Settings())
    {
    }

    FakeProcess process;
    Client client;
    ClaimLog<Client, FakeProcess> log;
  };

  struct KeyState
  {
    ClaimKey key;
    TimePoint createdAt;
    std::uint32_t holders = 0;
    std::uint32_t runs = 0;
  };

  static ClaimLogSettings Settings()
  {
    ClaimLogSettings settings;
    settings.window = kWindow;
    settings.maxSegmentBytes = 300;
    settings.trimInterval = std::chrono::milliseconds(500);
    settings.floorStep = 2;
    return settings;
  }

  bool RandomBool(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           aProbability;
  }
  Duration RandomDuration(Duration aMin, Duration aMax)
  {
    return Duration(std::uniform_int_distribution<Duration::rep>(
      aMin.count(), aMax.count())(this->random));
  }

  KeyValueFaults ChooseFaults()
  {
    KeyValueFaults faults;
    constexpr std::array<double, 3> kRates = { 0, 0.02, 0.3 };
    faults.lostAnswerProbability = kRates[this->random() % kRates.size()];
    faults.lateWriteProbability = kRates[this->random() % kRates.size()];
    faults.maxLateness = this->RandomBool(0.5)
                           ? Duration(std::chrono::seconds(2))
                           : Duration(std::chrono::minutes(5));
    const std::uint64_t outages = this->random() % 4;
    for (std::uint64_t i = 0; i < outages; ++i) {
      const TimePoint start =
        this->time.Now() +
        (this->random() % kPhaseCount) * (kPhaseDuration + kQuietDuration);
      const TimePoint from =
        start + this->RandomDuration(Duration(0), kPhaseDuration);
      const Duration length = this->RandomDuration(
        std::chrono::milliseconds(50), std::chrono::seconds(60));
      faults.outages.push_back(
        { from, std::min(from + length, start + kPhaseDuration) });
    }
    return faults;
  }

  void Start(std::size_t aSlot)
  {
    const Duration skew = this->RandomDuration(
      -kClaimClockMargin, kClaimClockMargin - std::chrono::seconds(1));
    this->writers.push_back(std::make_unique<Writer>(
      this->time, this->service, skew, this->writers.size() + 1));
    this->activeWriters[aSlot] = this->writers.back().get();
  }

  Task<void> GenerateCalls(TimePoint aEnd)
  {
    while (this->time.Now() < aEnd) {
      const bool burst = this->RandomBool(0.3);
      co_await this->time.WaitUntil(
        this->time.Now() +
        this->RandomDuration(Duration(0),
                             burst ? Duration(std::chrono::milliseconds(30))
                                   : Duration(std::chrono::seconds(4))));
      Writer& writer =
        *this->activeWriters[this->random() % this->activeWriters.size()];
      this->time.Spawn(this->Call(writer, this->ChooseKey()));
    }
  }

  // Returns a new key or one of the latest four in most cases, otherwise any
  // key.
  KeyState& ChooseKey()
  {
    if (this->keys.empty() || this->RandomBool(0.4)) {
      const std::uint64_t number = this->keys.size();
      const TimePoint createdAt =
        std::chrono::floor<std::chrono::seconds>(this->time.Now());
      this->keys.push_back(std::make_unique<KeyState>(
        KeyState{ { kShard, number }, createdAt, 0, 0 }));
      return *this->keys.back();
    }
    const std::size_t latest = std::min<std::size_t>(this->keys.size(), 4);
    const std::size_t range =
      this->RandomBool(0.7) ? latest : this->keys.size();
    return *this->keys[this->keys.size() - 1 - this->random() % range];
  }

  Task<void> Call(Writer& aWriter, KeyState& aKey)
  {
    ++this->result.calls;
    const ClaimMade claim{ aKey.key, 1, aKey.createdAt };
    co_await aWriter.process.WaitUntilRunning();
    const ClaimDecision decision = co_await aWriter.log.Claim(claim);
    co_await aWriter.process.WaitUntilRunning();
    this->result.unavailable +=
      decision.answer == ClaimAnswer::Unavailable ? 1 : 0;
    this->result.tooOld += decision.answer == ClaimAnswer::KeyTooOld ? 1 : 0;
    if (decision.answer == ClaimAnswer::Granted) {
      ++this->result.granted;
      this->grantedClaims.insert(decision.claim);
      co_await this->HoldClaim(aWriter, aKey, decision.claim);
    }
  }

  Task<void> HoldClaim(Writer& aWriter, KeyState& aKey, ClaimRef aClaim)
  {
    this->result.doubleGrants += ++aKey.holders > 1 ? 1 : 0;
    const Duration wait =
      this->RandomBool(0.2)
        ? this->RandomDuration(Duration(0), kLongestPause)
        : this->RandomDuration(Duration(0), std::chrono::milliseconds(500));
    co_await aWriter.process.WaitUntil(aWriter.process.Now() + wait);
    const ClaimTicket ticket{ aKey.key, aClaim };
    if (this->RandomBool(0.3)) {
      --aKey.holders;
      aWriter.log.Release(ticket);
      co_return;
    }
    this->result.doubleRuns += ++aKey.runs > 1 ? 1 : 0;
    if (this->RandomBool(0.8)) {
      aWriter.log.Finish(ticket, Verdict::Ran, 201);
    }
  }

  Task<void> InjectFaults(TimePoint aEnd)
  {
    while (true) {
      co_await this->time.WaitUntil(
        this->time.Now() +
        this->RandomDuration(Duration(0), std::chrono::minutes(1)));
      if (this->time.Now() >= aEnd) {
        co_return;
      }
      const std::size_t slot = this->random() % this->activeWriters.size();
      if (this->hasCrashes && this->RandomBool(0.3)) {
        this->activeWriters[slot]->process.Kill();
        this->Start(slot);
      } else {
        const Duration longest = this->RandomBool(0.5)
                                   ? Duration(std::chrono::seconds(2))
                                   : kLongestPause;
        this->activeWriters[slot]->process.PauseUntil(
          this->time.Now() + this->RandomDuration(Duration(0), longest));
      }
    }
  }

  // Reads the log as a new process would, and counts claims that were not
  // granted to any call. Skipped in schedules with crashes, because a killed
  // process cannot release the claims that it withdrew.
  void CheckLog()
  {
    if (this->hasCrashes) {
      return;
    }
    FakeProcess process(this->time);
    Client client(this->service, process);
    const ClaimLogSettings settings = Settings();
    ClaimLogView<Client, FakeProcess, ClaimTextCodec> view(
      client, process, settings, kShard);
    this->time.Spawn(Load(view));
    this->time.RunUntil(this->time.Now() + std::chrono::seconds(5));
    // Claims whose keys every daemon refuses as too old are no longer released.
    view.Table().Forget(this->time.Now() + kClaimClockMargin, kWindow);
    for (const auto& key : this->keys) {
      const ClaimRecord* record = view.Table().Find(key->key);
      const bool held = record && record->state != ClaimState::Released;
      this->result.checkedKeys += record ? 1 : 0;
      if (held && !this->grantedClaims.contains(record->claim)) {
        ++this->result.orphanedClaims;
      }
    }
  }

  static Task<void> Load(
    ClaimLogView<Client, FakeProcess, ClaimTextCodec>& aView)
  {
    co_await aView.Load();
  }

  std::mt19937_64 random;
  VirtualTime time;
  Service service;
  bool hasCrashes;
  std::vector<std::unique_ptr<Writer>> writers;
  std::array<Writer*, 3> activeWriters{};
  std::vector<std::unique_ptr<KeyState>> keys;
  std::unordered_set<ClaimRef> grantedClaims;
  ExplorerResult result;
};

} // namespace wigeonwalk
