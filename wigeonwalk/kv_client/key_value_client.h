// The client of the key-value service that all parts of a daemon share.
//
//   KeyValueClient client(service, timer, { .seed = seed });
//   KeyValueHandle claims = client.For(KeyValueUser::Claims);
//   WriteResult result = co_await claims.Put(put, deadline, reason);
//
// A handle satisfies KeyValueService. Its calls wait for the daemon's call
// budget by priority and are not sent while the service does not answer. If the
// answer to a write is lost, the client reads the key back to determine the
// outcome. Reads are hedged once, writes never.
#pragma once

#include "wigeonwalk/kv_client/backoff_gate.h"
#include "wigeonwalk/kv_client/call_budget.h"
#include "wigeonwalk/kv_client/key_value_client_types.h"
#include "wigeonwalk/kv_client/key_value_handle.h"
#include "wigeonwalk/kv_client/key_value_user.h"
#include "wigeonwalk/kv_client/read_back.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonwalk {

// See the top of the file. Used on the daemon's I/O thread only.
template<KeyValueService S, Timer T>
class KeyValueClient
{
public:
  using Handle = KeyValueHandle<KeyValueClient>;

  KeyValueClient(S& aService, T& aTimer, KeyValueClientSettings aSettings)
    : service(aService)
    , timer(aTimer)
    , settings(aSettings)
    , budget(aSettings.budget, aTimer.Now())
    , gate(aSettings.seed)
  {
  }

  // Returns the service as seen by one user. The client must outlive the
  // handle.
  Handle For(KeyValueUser aUser) { return Handle(*this, aUser); }

  void SetBudget(BudgetRate aRate)
  {
    this->budget.SetRate(aRate, this->timer.Now());
  }

  // Returns false while the service does not answer.
  bool IsAvailable() const { return !this->gate.IsClosed(); }

  const KeyValueClientCounts& Counts() const { return this->counts; }

  // Returns the number of watch calls in progress.
  std::uint32_t PendingWatches() const { return *this->pendingWatches; }

private:
  friend class KeyValueHandle<KeyValueClient>;

  // Waits for the call budget. Returns false and sets the reason if the call
  // must not be sent: the gate is closed, or the budget has no token before the
  // deadline.
  Task<bool> WaitForAdmission(KeyValueUser aUser,
                              TimePoint aDeadline,
                              FailureReason& aReason)
  {
    while (true) {
      if (this->gate.IsClosed() && this->timer.Now() < this->gate.RetryAt()) {
        ++this->counts.blockedByGate;
        Fail(aReason,
             ReasonCode::Unavailable,
             "key-value service does not answer; call not sent");
        co_return false;
      }
      const auto availableAt = this->budget.Take(aUser, this->timer.Now());
      if (!availableAt) {
        break;
      }
      if (*availableAt > aDeadline) {
        ++this->counts.overBudget;
        Fail(aReason,
             ReasonCode::Overloaded,
             "call budget of the key-value service exhausted; call not sent");
        co_return false;
      }
      co_await this->timer.WaitUntil(*availableAt);
    }
    this->gate.Admit(this->timer.Now());
    ++this->counts.sent[static_cast<std::size_t>(aUser)];
    co_return true;
  }

  // Records whether the service answered the call.
  void RecordResult(bool aAnswered)
  {
    const TimePoint now = this->timer.Now();
    if (!aAnswered) {
      this->gate.RecordFailure(now);
    } else if (this->gate.RecordSuccess(now)) {
      this->budget.DropBurst(now);
    }
  }

  TimePoint AttemptDeadline(TimePoint aDeadline) const
  {
    return std::min(aDeadline,
                    this->timer.Now() + this->settings.attemptTimeout);
  }

  // Reserves a third of the remaining time for reading back.
  TimePoint WriteDeadline(TimePoint aDeadline) const
  {
    const TimePoint now = this->timer.Now();
    const Duration left = std::max(aDeadline - now, Duration(0));
    return this->AttemptDeadline(now + left * 2 / 3);
  }

  // Runs a read. If the first request is slow, a second one is sent; if the
  // second one fails, the first is still awaited.
  template<typename R, typename F>
  Task<std::optional<R>> Read(KeyValueUser aUser,
                              F aCall,
                              TimePoint aDeadline,
                              FailureReason& aReason)
  {
    using boost::asio::experimental::awaitable_operators::operator||;
    if (!co_await this->WaitForAdmission(aUser, aDeadline, aReason)) {
      co_return std::nullopt;
    }
    const TimePoint deadline = this->AttemptDeadline(aDeadline);
    FailureReason hedgeReason;
    std::variant<std::optional<R>, std::optional<R>> first =
      co_await (aCall(deadline, aReason) ||
                this->Hedge<R>(aUser, aCall, deadline, hedgeReason));
    std::optional<R> answer =
      first.index() == 0 ? std::get<0>(first) : std::get<1>(first);
    this->RecordResult(answer.has_value());
    co_return answer;
  }

  template<typename R, typename F>
  Task<std::optional<R>> Hedge(KeyValueUser aUser,
                               F aCall,
                               TimePoint aDeadline,
                               FailureReason& aReason)
  {
    co_await this->timer.WaitUntil(this->timer.Now() +
                                   this->settings.hedgeAfter);
    std::optional<R> answer;
    if (!this->gate.IsClosed() &&
        !this->budget.Take(aUser, this->timer.Now())) {
      ++this->counts.hedges;
      ++this->counts.sent[static_cast<std::size_t>(aUser)];
      answer = co_await aCall(aDeadline, aReason);
    }
    if (!answer) {
      // Waits for the first request, which ends by its own deadline.
      co_await this->timer.WaitUntil(aDeadline + this->settings.hedgeAfter);
    }
    co_return answer;
  }

  Task<std::optional<ReadResult>> Get(KeyValueUser aUser,
                                      std::string aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason)
  {
    const auto call = [this, &aKey](TimePoint aLimit,
                                    FailureReason& aCallReason) {
      return this->service.Get(aKey, aLimit, aCallReason);
    };
    co_return co_await this->Read<ReadResult>(aUser, call, aDeadline, aReason);
  }

  Task<std::optional<std::vector<KeyValueEntry>>> List(KeyValueUser aUser,
                                                       std::string aPrefix,
                                                       TimePoint aDeadline,
                                                       FailureReason& aReason)
  {
    using Entries = std::vector<KeyValueEntry>;
    const auto call = [this, &aPrefix](TimePoint aLimit,
                                       FailureReason& aCallReason) {
      return this->service.List(aPrefix, aLimit, aCallReason);
    };
    co_return co_await this->Read<Entries>(aUser, call, aDeadline, aReason);
  }

  // Sends a write once. Any answer, even a refusal, shows that the service is
  // available.
  template<typename F>
  Task<WriteResult> Send(KeyValueUser aUser,
                         F aCall,
                         TimePoint aDeadline,
                         FailureReason& aReason)
  {
    WriteResult result;
    if (!co_await this->WaitForAdmission(aUser, aDeadline, aReason)) {
      co_return result;
    }
    FailureReason callReason;
    result = co_await aCall(this->WriteDeadline(aDeadline), callReason);
    const bool answered = result.outcome == WriteOutcome::Applied ||
                          result.outcome == WriteOutcome::Conflict ||
                          callReason.code == ReasonCode::Expired ||
                          callReason.code == ReasonCode::TooLarge ||
                          callReason.code == ReasonCode::InvalidArgument;
    this->RecordResult(answered);
    if (result.outcome != WriteOutcome::Applied) {
      aReason = callReason;
    }
    co_return result;
  }

  // Sends a write. If its answer is lost, reads the key back, and sends the
  // write once more if the key is unchanged. `aResolve` derives the outcome
  // from the entry that was read.
  template<typename F, typename G>
  Task<WriteResult> Write(KeyValueUser aUser,
                          std::string aKey,
                          F aCall,
                          G aResolve,
                          TimePoint aDeadline,
                          FailureReason& aReason)
  {
    WriteResult result = co_await this->Send(aUser, aCall, aDeadline, aReason);
    if (result.outcome != WriteOutcome::Unknown) {
      co_return result;
    }
    constexpr int kResends = 1;
    for (int resends = 0;; ++resends) {
      ++this->counts.readBacks;
      FailureReason ignored;
      const auto read = co_await this->Get(aUser, aKey, aDeadline, ignored);
      if (!read) {
        co_return result;
      }
      const ReadBackResult readBackResult = aResolve(read->entry);
      result.current = read->entry;
      if (readBackResult == ReadBackResult::Applied) {
        result.outcome = WriteOutcome::Applied;
        result.revision =
          read->entry ? read->entry->modRevision : read->revision;
        co_return result;
      }
      if (readBackResult == ReadBackResult::Superseded || resends == kResends) {
        co_return result;
      }
      const WriteResult again =
        co_await this->Send(aUser, aCall, aDeadline, ignored);
      if (again.outcome == WriteOutcome::Applied) {
        co_return again;
      }
    }
  }

  Task<WriteResult> Put(KeyValueUser aUser,
                        PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason)
  {
    const auto call = [this, &aPut](TimePoint aLimit,
                                    FailureReason& aCallReason) {
      return this->service.Put(aPut, aLimit, aCallReason);
    };
    const auto resolve = [&aPut](const std::optional<KeyValueEntry>& aNow) {
      return ResolvePut(aPut, aNow);
    };
    co_return co_await this->Write(
      aUser, aPut.key, call, resolve, aDeadline, aReason);
  }

  Task<WriteResult> Delete(KeyValueUser aUser,
                           std::string aKey,
                           std::optional<std::int64_t> aExpectedRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason)
  {
    const auto call = [this, &aKey, aExpectedRevision](
                        TimePoint aLimit, FailureReason& aCallReason) {
      return this->service.Delete(aKey, aExpectedRevision, aLimit, aCallReason);
    };
    const auto resolve =
      [aExpectedRevision](const std::optional<KeyValueEntry>& aNow) {
        return ResolveDelete(aExpectedRevision, aNow);
      };
    co_return co_await this->Write(
      aUser, aKey, call, resolve, aDeadline, aReason);
  }

  Task<std::optional<LeaseId>> GrantLease(KeyValueUser aUser,
                                          Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    if (!co_await this->WaitForAdmission(aUser, aDeadline, aReason)) {
      co_return std::nullopt;
    }
    // If the answer is lost, a lease that was granted is left to expire.
    const auto lease = co_await this->service.GrantLease(
      aTimeToLive, this->AttemptDeadline(aDeadline), aReason);
    this->RecordResult(lease.has_value());
    co_return lease;
  }

  Task<std::optional<Duration>> KeepAlive(KeyValueUser aUser,
                                          LeaseId aLease,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    if (!co_await this->WaitForAdmission(aUser, aDeadline, aReason)) {
      co_return std::nullopt;
    }
    FailureReason callReason;
    const auto remaining = co_await this->service.KeepAlive(
      aLease, this->AttemptDeadline(aDeadline), callReason);
    this->RecordResult(remaining.has_value() ||
                       callReason.code == ReasonCode::Expired);
    if (!remaining) {
      aReason = callReason;
    }
    co_return remaining;
  }

  // Watches with calls of at most maxWatchDuration each, and compares with a
  // listing every listingInterval. The listing cannot find deletions that a
  // watch missed.
  Task<std::optional<WatchBatch>> Watch(KeyValueUser aUser,
                                        std::string aPrefix,
                                        std::int64_t aRevision,
                                        TimePoint aDeadline,
                                        FailureReason& aReason)
  {
    TimePoint nextListingAt =
      this->timer.Now() + this->settings.listingInterval;
    WatchBatch batch{ {}, aRevision };
    while (true) {
      const TimePoint until = std::min(
        aDeadline, this->timer.Now() + this->settings.maxWatchDuration);
      auto update = co_await this->WatchOnce(
        aUser, aPrefix, batch.nextRevision, until, aReason);
      if (!update) {
        co_return std::nullopt;
      }
      batch = std::move(*update);
      if (!batch.events.empty() || this->timer.Now() >= aDeadline) {
        co_return batch;
      }
      if (this->timer.Now() >= nextListingAt) {
        nextListingAt = this->timer.Now() + this->settings.listingInterval;
        co_await this->CompareWithListing(aUser, aPrefix, batch, aDeadline);
        if (!batch.events.empty()) {
          co_return batch;
        }
      }
    }
  }

  Task<std::optional<WatchBatch>> WatchOnce(KeyValueUser aUser,
                                            std::string aPrefix,
                                            std::int64_t aRevision,
                                            TimePoint aUntil,
                                            FailureReason& aReason)
  {
    if (this->gate.IsClosed()) {
      // A read detects at once whether the service is back; a watch without
      // changes would show it only after seconds.
      const auto probe = co_await this->Get(aUser, aPrefix, aUntil, aReason);
      if (!probe) {
        co_return std::nullopt;
      }
    }
    if (!co_await this->WaitForAdmission(aUser, aUntil, aReason)) {
      co_return std::nullopt;
    }
    const PendingWatch pending(this->pendingWatches);
    auto update =
      co_await this->service.Watch(aPrefix, aRevision, aUntil, aReason);
    this->RecordResult(update.has_value());
    co_return update;
  }

  // Lists the prefix and adds to the batch the entries that changed at or after
  // its next revision.
  Task<void> CompareWithListing(KeyValueUser aUser,
                                std::string aPrefix,
                                WatchBatch& aBatch,
                                TimePoint aDeadline)
  {
    FailureReason ignored;
    const auto entries =
      co_await this->List(aUser, aPrefix, aDeadline, ignored);
    if (!entries) {
      co_return;
    }
    std::int64_t next = aBatch.nextRevision;
    for (const KeyValueEntry& entry : *entries) {
      if (entry.modRevision >= aBatch.nextRevision) {
        ++this->counts.missedByWatch;
        aBatch.events.push_back({ false, entry });
        next = std::max(next, entry.modRevision + 1);
      }
    }
    aBatch.nextRevision = next;
  }

  S& service;
  T& timer;
  KeyValueClientSettings settings;
  CallBudget budget;
  BackoffGate gate;
  KeyValueClientCounts counts;
  std::shared_ptr<std::uint32_t> pendingWatches =
    std::make_shared<std::uint32_t>(0);
};

} // namespace wigeonwalk
