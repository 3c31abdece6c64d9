// The claim schemes that claim_log_benchmark compares: one key for each claim,
// the batched log, and an owner that holds a lease and keeps claims in memory.
//
//   LogScheme scheme(time, service, process, 3);
//   ClaimAnswer answer = co_await scheme.Claim(key);
#pragma once

#include "wigeonwalk/claims/claim_log.h"
#include "wigeonwalk/claims/internal/fake_key_value.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace wigeonwalk {

using BenchmarkClient = FakeKeyValueClient<FakeKeyValue<>>;

// One writer of a scheme.
template<typename T>
concept ClaimScheme = requires(T& aScheme, const ClaimKey& aKey)
{
  {
    aScheme.Claim(aKey)
    } -> std::same_as<Task<ClaimAnswer>>;
  {
    aScheme.Finish(aKey)
    } -> std::same_as<void>;
  {
    T::kName
    } -> std::convertible_to<std::string_view>;
};

// One write for each claim and one for its outcome. A third write, the deletion
// after the window, is not simulated.
class OneKeyScheme
{
public:
  static constexpr std::string_view kName = "one key each";

  OneKeyScheme(VirtualTime& aTime,
               FakeKeyValue<>& aService,
               FakeProcess& aProcess,
               std::uint64_t aIncarnation)
    : time(aTime)
    , client(aService, aProcess)
    , process(aProcess)
    , writer(std::to_string(aIncarnation))
  {
  }

  Task<ClaimAnswer> Claim(const ClaimKey& aKey)
  {
    const TimePoint deadline =
      this->process.Now() + std::chrono::milliseconds(300);
    FailureReason reason;
    const PutRequest put{ "claim/" + aKey.ToHex(), this->writer, 0, 0 };
    const WriteResult result = co_await this->client.Put(put, deadline, reason);
    if (result.outcome == WriteOutcome::Applied) {
      co_return ClaimAnswer::Granted;
    }
    co_return result.outcome == WriteOutcome::Conflict
      ? ClaimAnswer::Duplicate
      : ClaimAnswer::Unavailable;
  }

  void Finish(const ClaimKey& aKey)
  {
    this->time.Spawn(this->WriteOutcomeOf("claim/" + aKey.ToHex()));
  }

private:
  Task<void> WriteOutcomeOf(std::string aKey)
  {
    FailureReason reason;
    const PutRequest put{ aKey, this->writer + " ran 201", std::nullopt, 0 };
    const TimePoint deadline = this->process.Now() + std::chrono::seconds(1);
    co_await this->client.Put(put, deadline, reason);
  }

  VirtualTime& time;
  BenchmarkClient client;
  FakeProcess& process;
  std::string writer;
};

// The claim log, as used in production.
class LogScheme
{
public:
  static constexpr std::string_view kName = "batched log";

  LogScheme(VirtualTime& aTime,
            FakeKeyValue<>& aService,
            FakeProcess& aProcess,
            std::uint64_t aIncarnation)
    : client(aService, aProcess)
    , process(aProcess)
    , log(this->client,
          aProcess,
          aTime.Context().get_executor(),
          HostId("owner"),
          aIncarnation)
  {
  }

  Task<ClaimAnswer> Claim(const ClaimKey& aKey)
  {
    const TimePoint createdAt = std::chrono::floor<std::chrono::seconds>(
      TimePoint(std::chrono::microseconds(aKey.low)));
    const ClaimDecision decision =
      co_await this->log.Claim({ aKey, 1, createdAt });
    if (decision.answer == ClaimAnswer::Granted) {
      this->granted.emplace(aKey, decision.claim);
    }
    co_return decision.answer;
  }

  void Finish(const ClaimKey& aKey)
  {
    this->log.Finish({ aKey, this->granted.at(aKey) }, Verdict::Ran, 201);
    this->granted.erase(aKey);
  }

private:
  BenchmarkClient client;
  FakeProcess& process;
  ClaimLog<BenchmarkClient, FakeProcess> log;
  std::unordered_map<ClaimKey, ClaimRef> granted;
};

// An owner that renews a lease with one write every three seconds. Its
// successor waits until the lease has expired. Claims are not durable.
class LeaseScheme
{
public:
  static constexpr std::string_view kName = "lease, memory";
  static constexpr Duration kLease = std::chrono::seconds(10);

  LeaseScheme(VirtualTime& aTime,
              FakeKeyValue<>& aService,
              FakeProcess& aProcess,
              std::uint64_t aIncarnation)
    : client(aService, aProcess)
    , process(aProcess)
    , heldFrom(aIncarnation == 1 ? aProcess.Now() : aProcess.Now() + kLease)
    , heldUntil(aProcess.Now() + kLease)
  {
    aTime.Spawn(this->Renew());
  }

  Task<ClaimAnswer> Claim(const ClaimKey& aKey)
  {
    const TimePoint now = this->process.Now();
    if (now < this->heldFrom || now >= this->heldUntil) {
      co_return ClaimAnswer::Unavailable;
    }
    co_return this->claimedKeys.insert(aKey).second ? ClaimAnswer::Granted
                                                    : ClaimAnswer::Duplicate;
  }

  void Finish(const ClaimKey&) {}

private:
  Task<void> Renew()
  {
    while (true) {
      const TimePoint start = this->process.Now();
      FailureReason reason;
      const PutRequest put{ "lease", "owner", std::nullopt, 0 };
      const WriteResult result =
        co_await this->client.Put(put, start + std::chrono::seconds(1), reason);
      if (result.outcome == WriteOutcome::Applied) {
        this->heldUntil = start + kLease;
      }
      co_await this->process.WaitUntil(start + std::chrono::seconds(3));
    }
  }

  BenchmarkClient client;
  FakeProcess& process;
  TimePoint heldFrom;
  TimePoint heldUntil;
  std::unordered_set<ClaimKey> claimedKeys;
};

static_assert(ClaimScheme<OneKeyScheme>);
static_assert(ClaimScheme<LogScheme>);
static_assert(ClaimScheme<LeaseScheme>);

} // namespace wigeonwalk
