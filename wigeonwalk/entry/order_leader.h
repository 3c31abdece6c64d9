// Leader election: which daemon gives orders to runners.
//
//   OrderLeader leader(state, mirror, store, timer, log);
//   spawn(leader.Run());
//   if (auto number = leader.FencingNumber()) { ... give an order ... }
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/order_handover.h"
#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Acquires and renews the lease on orders. The fencing number is the revision
// of the lease's key, so each later holder has a higher one. A daemon that
// takes the lease over from another one first waits for the deployment's least
// time between the orders of two holders. After a restore of the registry the
// last holder acquires the lease again, with the new incarnation in its fencing
// number; another daemon waits as after a take-over. One task.
template<KeyValueService S, Timer T, StructuredLog L>
class OrderLeader
{
public:
  static constexpr const char* kLeaseKey = "wigeonwalk/orders/lease";
  // Names the last holder and the incarnation in which it acquired the lease,
  // also after the lease has expired.
  static constexpr const char* kLastHolderKey = "wigeonwalk/orders/holder";
  // Time to live of the lease. Short, because a rollout makes no progress until
  // a dead holder's lease has expired.
  static constexpr Duration kTimeToLive = std::chrono::seconds(2);
  static constexpr Duration kRenewInterval = kTimeToLive / 3;
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
  // Additional wait for each place in the ranking of candidates, so that they
  // do not compete for the lease.
  static constexpr Duration kRankDelay = std::chrono::milliseconds(600);
  // Places in the ranking that are left to the last holder after a restore.
  static constexpr int kPlacesOfLastHolder = 2;
  // Added to the deployment's least time between two holders, for clocks that
  // run at different rates.
  static constexpr Duration kClockDriftMargin = std::chrono::milliseconds(100);

  OrderLeader(EntryState& aState,
              const ItemMirror& aMirror,
              S& aStore,
              T& aTimer,
              L& aLog)
    : state(aState)
    , mirror(aMirror)
    , store(aStore)
    , timer(aTimer)
    , log(aLog)
    , keeper(aStore,
             aTimer,
             { kLeaseKey, aState.Settings().host.Text(), kTimeToLive })
    , handover(aState.Settings().bounds.orderLease + kClockDriftMargin,
               kTimeToLive)
  {
  }

  // The fencing number for orders; nothing if this daemon may not give any.
  std::optional<std::uint64_t> FencingNumber() const
  {
    if (this->timer.Now() < this->handover.OrdersFrom() || this->fenced ||
        !this->isRecorded) {
      return std::nullopt;
    }
    return this->HeldNumber();
  }

  // A runner has seen a higher fencing number, so another daemon holds the
  // lease.
  void NoteFenced() { this->fenced = true; }

  // Runs until the daemon stops, then releases the lease.
  Task<void> Run()
  {
    while (!this->state.stopping) {
      this->NoteMirroredIncarnation();
      if (this->HeldNumber() && !this->fenced) {
        co_await this->Renew();
      } else if (this->ShouldAcquire()) {
        co_await this->AcquireLease();
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kLoopInterval);
    }
    co_await this->keeper.Release();
  }

private:
  // The number of the lease, unless it is of an earlier incarnation.
  std::optional<std::uint64_t> HeldNumber() const
  {
    const auto number = this->keeper.FencingNumber();
    const bool isEarlier =
      number && IncarnationOf(static_cast<std::int64_t>(*number)) <
                  IncarnationOf(this->mirror.Revision());
    return isEarlier ? std::nullopt : number;
  }

  // Returns true if the daemon relies on the lease, or did so until the
  // registry reported a short time ago that it has expired.
  bool HeldUntilNow() const
  {
    const bool isLostNow =
      this->lostAt && this->timer.Now() - *this->lostAt <= kTimeToLive;
    return !this->fenced && (this->keeper.FencingNumber() || isLostNow);
  }

  void NoteMirroredIncarnation()
  {
    const std::int64_t revision = this->mirror.Revision();
    if (revision > 0) {
      this->handover.NoteIncarnation(
        IncarnationOf(revision), this->HeldUntilNow(), this->timer.Now());
    }
  }

  Task<void> Renew()
  {
    const TimePoint now = this->timer.Now();
    if (now < this->renewAt) {
      co_return;
    }
    FailureReason reason;
    const TimePoint deadline = now + kCallTimeout;
    if (co_await this->keeper.Renew(deadline, reason)) {
      this->renewAt = now + kRenewInterval;
      co_return;
    }
    if (!this->keeper.FencingNumber()) {
      if (reason.code == ReasonCode::Expired) {
        this->lostAt = this->timer.Now();
      }
      this->log.Write(this->timer.Now(),
                      LogLevel::Warning,
                      "lease on orders lost",
                      {},
                      { LogField(reason) });
    }
  }

  // Returns true if this daemon should try for a free lease. The highest-ranked
  // daemon tries at once; the others try later, in case those ranked above them
  // can't reach the registry.
  bool ShouldAcquire()
  {
    const TimePoint now = this->timer.Now();
    const KeyValueEntry* lease = this->mirror.Find(kLeaseKey);
    const bool held = lease != nullptr && !IsLeftover(*lease);
    if (this->state.registryUnreachable || held ||
        this->state.Routes() == nullptr) {
      this->freeSince.reset();
      return false;
    }
    if (!this->freeSince) {
      this->freeSince = now;
    }
    std::vector<HostId> hosts;
    for (const auto& [host, member] : this->state.members) {
      hosts.push_back(host);
    }
    const auto ranked = RankOwners(kLeaseKey, hosts, hosts.size());
    const auto self =
      std::find(ranked.begin(), ranked.end(), this->state.Settings().host);
    auto rank = static_cast<int>(self - ranked.begin());
    if (this->handover.FollowsRestore(now)) {
      rank = this->handover.IsLastHolder() ? 0 : rank + kPlacesOfLastHolder;
    }
    return now - *this->freeSince >= rank * kRankDelay;
  }

  // Returns the number after the host in the value of a key.
  static std::optional<std::int64_t> NumberIn(const std::string& aValue)
  {
    const char* end = aValue.data() + aValue.size();
    std::int64_t number = 0;
    const auto parsed =
      std::from_chars(aValue.data() + aValue.rfind(' ') + 1, end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                         : std::nullopt;
  }

  // Returns true if the key names a lease of an earlier incarnation: it is from
  // the copy or was written late, and its lease number may have been given out
  // again.
  static bool IsLeftover(const KeyValueEntry& aLease)
  {
    const auto number = NumberIn(aLease.value);
    return number &&
           LeaseIncarnationOf(*number) < IncarnationOf(aLease.modRevision);
  }

  std::string RecordOf(std::int64_t aIncarnation) const
  {
    return this->state.Settings().host.Text() + " " +
           std::to_string(aIncarnation);
  }

  LastHolder ReadRecord(std::int64_t aIncarnation) const
  {
    const KeyValueEntry* record = this->mirror.Find(kLastHolderKey);
    if (record == nullptr) {
      return LastHolder::None;
    }
    if (NumberIn(record->value) != aIncarnation) {
      return LastHolder::Unknown;
    }
    return record->value == this->RecordOf(aIncarnation) ? LastHolder::Self
                                                         : LastHolder::Other;
  }

  Task<bool> RemoveLeftover(TimePoint aDeadline, FailureReason& aReason)
  {
    const KeyValueEntry* lease = this->mirror.Find(kLeaseKey);
    if (lease == nullptr) {
      co_return true;
    }
    const std::string key = kLeaseKey;
    const WriteResult result =
      co_await this->store.Delete(key, lease->modRevision, aDeadline, aReason);
    co_return result.outcome == WriteOutcome::Applied;
  }

  Task<void> AcquireLease()
  {
    FailureReason reason;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const bool held = this->HeldUntilNow();
    this->freeSince.reset();
    this->isRecorded = false;
    if (!co_await this->RemoveLeftover(deadline, reason) ||
        !co_await this->keeper.Acquire(deadline, reason)) {
      co_return;
    }
    const TimePoint now = this->timer.Now();
    const std::uint64_t number = *this->keeper.FencingNumber();
    const std::int64_t incarnation =
      IncarnationOf(static_cast<std::int64_t>(number));
    this->fenced = false;
    this->lostAt.reset();
    this->renewAt = now + kRenewInterval;
    this->handover.NoteIncarnation(incarnation, held, now);
    const LastHolder last = this->ReadRecord(incarnation);
    this->handover.NoteAcquired(last, now);
    const Duration wait =
      std::max(this->handover.OrdersFrom() - now, Duration(0));
    this->log.Write(now,
                    LogLevel::Info,
                    "lease on orders held",
                    {},
                    { { LogKey::Revision, number }, { LogKey::Age, wait } });
    co_await this->WriteHolder(this->RecordOf(incarnation), deadline);
  }

  // Records this daemon as the last holder. The next holder waits only if it
  // finds this record, so the lease is released if it can't be written, and no
  // orders are given before. The write is conditional, since it may take effect
  // after a later holder's. A holder that finds itself in the record writes it
  // as well: the write of one in between may still be on its way.
  Task<void> WriteHolder(std::string aRecord, TimePoint aDeadline)
  {
    PutRequest put;
    put.key = kLastHolderKey;
    put.value = aRecord;
    const KeyValueEntry* last = this->mirror.Find(kLastHolderKey);
    put.expectedRevision = last == nullptr ? 0 : last->modRevision;
    FailureReason reason;
    const WriteResult result = co_await this->store.Put(put, aDeadline, reason);
    if (result.outcome != WriteOutcome::Applied) {
      this->log.Write(this->timer.Now(),
                      LogLevel::Warning,
                      "failed to record the holder of the lease on orders",
                      {},
                      { LogField(reason) });
      co_await this->keeper.Release();
    } else {
      this->isRecorded = true;
    }
  }

  EntryState& state;
  const ItemMirror& mirror;
  S& store;
  T& timer;
  L& log;
  LeaseKeeper<S, T> keeper;
  OrderHandover handover;
  TimePoint renewAt;
  // When the registry reported that the lease has expired.
  std::optional<TimePoint> lostAt;
  std::optional<TimePoint> freeSince;
  bool fenced = false;
  // The registry names this daemon as the last holder.
  bool isRecorded = false;
};

} // namespace wigeonwalk
