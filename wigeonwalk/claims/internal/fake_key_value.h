// A fake key-value service in virtual time, for tests and benchmarks, with the
// faults of the platform's service. Its clients are processes that can be
// paused or killed and whose clocks differ.
//
//   FakeKeyValue<> service(time, seed, faults);
//   FakeProcess process(time, skew);
//   FakeKeyValueClient client(service, process);
#pragma once

#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Faults of the service.
struct KeyValueFaults
{
  struct Outage
  {
    TimePoint from;
    TimePoint until;
  };
  std::vector<Outage> outages;
  // Probability that a write takes effect but its answer is lost.
  double lostAnswerProbability = 0;
  // Probability that a write arrives only after its caller's deadline.
  double lateWriteProbability = 0;
  // Maximum delay of such a write after the deadline.
  Duration maxLateness = std::chrono::seconds(5);
  // One-way network delay.
  Duration minNetworkDelay = std::chrono::milliseconds(1);
  Duration maxNetworkDelay = std::chrono::milliseconds(4);
};

// Calls and bytes that reached the service.
struct KeyValueCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t bytesRead = 0;
  std::uint64_t bytesWritten = 0;
  std::size_t largestValue = 0;
};

// The service. With `Compares` false it ignores expected revisions; the test of
// the claim log uses this to show that it detects violations.
template<bool Compares = true>
class FakeKeyValue
{
public:
  FakeKeyValue(VirtualTime& aTime, std::uint64_t aSeed, KeyValueFaults aFaults)
    : time(aTime)
    , faults(std::move(aFaults))
    , random(aSeed)
  {
  }

  Task<std::optional<ReadResult>> Get(const std::string& aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason)
  {
    if (!co_await this->SimulateNetworkDelay(aDeadline)) {
      co_return Fail(aReason, ReasonCode::Unavailable, "no answer");
    }
    ++this->counts.reads;
    ReadResult result{ std::nullopt, this->revision };
    if (const auto found = this->entries.find(aKey);
        found != this->entries.end()) {
      result.entry = found->second;
      this->counts.bytesRead += found->second.value.size();
    }
    co_await this->SimulateNetworkDelay(aDeadline);
    co_return result;
  }

  Task<std::optional<std::vector<KeyValueEntry>>>
  List(const std::string& aPrefix, TimePoint aDeadline, FailureReason& aReason)
  {
    if (!co_await this->SimulateNetworkDelay(aDeadline)) {
      co_return Fail(aReason, ReasonCode::Unavailable, "no answer");
    }
    ++this->counts.reads;
    std::vector<KeyValueEntry> found;
    for (auto at = this->entries.lower_bound(aPrefix);
         at != this->entries.end() && at->first.starts_with(aPrefix);
         ++at) {
      found.push_back(at->second);
      this->counts.bytesRead += at->second.value.size();
    }
    co_await this->SimulateNetworkDelay(aDeadline);
    co_return found;
  }

  Task<WriteResult> Put(const PutRequest& aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason)
  {
    return this->Write(aPut, false, aDeadline, aReason);
  }

  Task<WriteResult> Delete(const std::string& aKey,
                           std::optional<std::int64_t> aExpectedRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason)
  {
    return this->Write(
      { aKey, {}, aExpectedRevision, 0 }, true, aDeadline, aReason);
  }

  Task<std::optional<LeaseId>> GrantLease(Duration, TimePoint, FailureReason&)
  {
    co_return std::nullopt;
  }
  Task<std::optional<Duration>> KeepAlive(LeaseId, TimePoint, FailureReason&)
  {
    co_return std::nullopt;
  }
  Task<std::optional<WatchBatch>> Watch(const std::string&,
                                        std::int64_t,
                                        TimePoint,
                                        FailureReason&)
  {
    co_return std::nullopt;
  }

  const KeyValueCounts& Counts() const { return this->counts; }
  std::size_t Entries() const { return this->entries.size(); }

private:
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
  bool IsDown() const
  {
    const TimePoint now = this->time.Now();
    return std::any_of(this->faults.outages.begin(),
                       this->faults.outages.end(),
                       [now](const auto& aOutage) {
                         return now >= aOutage.from && now < aOutage.until;
                       });
  }

  // Waits for one network delay. If the service is down, waits until the
  // deadline and returns false.
  Task<bool> SimulateNetworkDelay(TimePoint aDeadline)
  {
    co_await this->time.WaitUntil(
      this->time.Now() + this->RandomDuration(this->faults.minNetworkDelay,
                                              this->faults.maxNetworkDelay));
    if (this->IsDown()) {
      co_await this->time.WaitUntil(aDeadline);
      co_return false;
    }
    co_return true;
  }

  Task<WriteResult> Write(PutRequest aPut,
                          bool aDelete,
                          TimePoint aDeadline,
                          FailureReason& aReason)
  {
    const WriteResult lost{ WriteOutcome::Unknown, 0, std::nullopt };
    Fail(aReason, ReasonCode::Unavailable, "no answer to a write");
    if (this->RandomBool(this->faults.lateWriteProbability)) {
      this->time.Spawn(this->WriteLate(aPut, aDelete, aDeadline));
      co_await this->time.WaitUntil(aDeadline);
      co_return lost;
    }
    if (!co_await this->SimulateNetworkDelay(aDeadline)) {
      co_return lost;
    }
    const WriteResult result = this->Apply(aPut, aDelete);
    const bool arrives = co_await this->SimulateNetworkDelay(aDeadline);
    if (!arrives || this->RandomBool(this->faults.lostAnswerProbability)) {
      co_await this->time.WaitUntil(aDeadline);
      co_return lost;
    }
    co_return result;
  }

  Task<void> WriteLate(PutRequest aPut, bool aDelete, TimePoint aDeadline)
  {
    co_await this->time.WaitUntil(
      aDeadline + this->RandomDuration(Duration(0), this->faults.maxLateness));
    this->Apply(aPut, aDelete);
  }

  WriteResult Apply(const PutRequest& aPut, bool aDelete)
  {
    ++this->counts.writes;
    this->counts.bytesWritten += aPut.value.size();
    this->counts.largestValue =
      std::max(this->counts.largestValue, aPut.value.size());
    const auto found = this->entries.find(aPut.key);
    const bool exists = found != this->entries.end();
    const std::int64_t present = exists ? found->second.modRevision : 0;
    if (Compares && aPut.expectedRevision.value_or(present) != present) {
      return { WriteOutcome::Conflict, 0, std::nullopt };
    }
    ++this->revision;
    if (aDelete) {
      this->entries.erase(aPut.key);
      return { WriteOutcome::Applied, this->revision, std::nullopt };
    }
    KeyValueEntry& entry = this->entries[aPut.key];
    entry.createRevision = exists ? entry.createRevision : this->revision;
    entry.key = aPut.key;
    entry.value = aPut.value;
    entry.modRevision = this->revision;
    return { WriteOutcome::Applied, this->revision, std::nullopt };
  }

  VirtualTime& time;
  KeyValueFaults faults;
  std::mt19937_64 random;
  std::map<std::string, KeyValueEntry> entries;
  std::int64_t revision = 1;
  KeyValueCounts counts;
};

static_assert(KeyValueService<FakeKeyValue<>>);

// A process with its own clock; satisfies Timer. A paused process resumes later
// as if nothing had happened; a killed one never resumes.
class FakeProcess
{
public:
  explicit FakeProcess(VirtualTime& aTime, Duration aSkew = {})
    : time(aTime)
    , skew(aSkew)
  {
  }

  void PauseUntil(TimePoint aTime)
  {
    this->pausedUntil = std::max(this->pausedUntil, aTime);
  }
  // Ends a pause early, at the next check of whether it is over.
  void Resume() { this->pausedUntil = this->time.Now(); }
  void Kill() { this->killed = true; }
  bool Killed() const { return this->killed; }

  // Returns once the process is running.
  Task<void> WaitUntilRunning()
  {
    while (this->killed || this->time.Now() < this->pausedUntil) {
      const TimePoint next =
        std::min(this->pausedUntil, this->time.Now() + kResumeCheckInterval);
      co_await this->time.WaitUntil(this->killed ? TimePoint::max() : next);
    }
  }

  TimePoint Now() const { return this->time.Now() + this->skew; }
  Task<void> WaitUntil(TimePoint aTime)
  {
    co_await this->time.WaitUntil(aTime - this->skew);
    co_await this->WaitUntilRunning();
  }

  TimePoint ToTrueTime(TimePoint aTime) const { return aTime - this->skew; }

private:
  static constexpr Duration kResumeCheckInterval = std::chrono::seconds(5);

  VirtualTime& time;
  Duration skew;
  TimePoint pausedUntil;
  bool killed = false;
};

static_assert(Timer<FakeProcess>);

// One process's client of the service. A pause can occur between the decision
// to call and the call, and between the answer and its use.
template<typename Service>
class FakeKeyValueClient
{
public:
  FakeKeyValueClient(Service& aService, FakeProcess& aProcess)
    : service(aService)
    , process(aProcess)
  {
  }

  Task<std::optional<ReadResult>> Get(std::string aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason)
  {
    co_await this->process.WaitUntilRunning();
    auto result =
      co_await this->service.Get(aKey, this->Deadline(aDeadline), aReason);
    co_await this->process.WaitUntilRunning();
    co_return result;
  }
  Task<std::optional<std::vector<KeyValueEntry>>> List(std::string aPrefix,
                                                       TimePoint aDeadline,
                                                       FailureReason& aReason)
  {
    co_await this->process.WaitUntilRunning();
    auto result =
      co_await this->service.List(aPrefix, this->Deadline(aDeadline), aReason);
    co_await this->process.WaitUntilRunning();
    co_return result;
  }
  Task<WriteResult> Put(PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason)
  {
    co_await this->process.WaitUntilRunning();
    auto result =
      co_await this->service.Put(aPut, this->Deadline(aDeadline), aReason);
    co_await this->process.WaitUntilRunning();
    co_return result;
  }
  Task<WriteResult> Delete(std::string aKey,
                           std::optional<std::int64_t> aRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason)
  {
    co_await this->process.WaitUntilRunning();
    auto result = co_await this->service.Delete(
      aKey, aRevision, this->Deadline(aDeadline), aReason);
    co_await this->process.WaitUntilRunning();
    co_return result;
  }
  Task<std::optional<LeaseId>> GrantLease(Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    return this->service.GrantLease(aTimeToLive, aDeadline, aReason);
  }
  Task<std::optional<Duration>> KeepAlive(LeaseId aLease,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    return this->service.KeepAlive(aLease, aDeadline, aReason);
  }
  Task<std::optional<WatchBatch>> Watch(const std::string& aPrefix,
                                        std::int64_t aRevision,
                                        TimePoint aDeadline,
                                        FailureReason& aReason)
  {
    return this->service.Watch(aPrefix, aRevision, aDeadline, aReason);
  }

private:
  // A call that was decided on before a pause is still sent after it, so it
  // gets at least kMinCallTime.
  TimePoint Deadline(TimePoint aDeadline) const
  {
    constexpr Duration kMinCallTime = std::chrono::milliseconds(50);
    return std::max(this->process.ToTrueTime(aDeadline),
                    this->process.ToTrueTime(this->process.Now()) +
                      kMinCallTime);
  }

  Service& service;
  FakeProcess& process;
};

static_assert(KeyValueService<FakeKeyValueClient<FakeKeyValue<>>>);

} // namespace wigeonwalk
