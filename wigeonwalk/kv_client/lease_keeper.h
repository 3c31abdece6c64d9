// Acquires and renews one lease in the key-value service.
//
//   LeaseKeeper keeper(handle, timer, { .key = "rollout/orders/lease",
//                                       .holder = "host-7" });
//   spawn(keeper.Run());
//   if (auto fencing = keeper.FencingNumber()) { ... send an order ... }
#pragma once

#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

struct LeaseSettings
{
  std::string key;
  // Identifies this process; part of the key's value.
  std::string holder;
  Duration timeToLive = std::chrono::seconds(10);
};

// A lease that this process holds or has held.
struct HeldLease
{
  LeaseId lease = 0;
  // Revision at which the key was created. Every later holder gets a higher
  // one.
  std::uint64_t fencingNumber = 0;
  // The service keeps the lease at least until then, by this process's clock.
  TimePoint validUntil;
};

// Acquires and renews a lease. A lease counts as lost as soon as it may have
// expired: its time to live is counted from before the renewal was sent, less a
// margin for clocks that run at different rates. After a pause longer than
// that, the process finds the lease lost at its first check. Only two or three
// daemons, chosen by rendezvous rank, should compete for a lease, because each
// waiting one costs a watch. Not thread-safe.
template<KeyValueService S, Timer T>
class LeaseKeeper
{
public:
  // Fraction of the time to live for which a holder relies on the lease.
  static constexpr double kReliedFraction = 0.9;

  LeaseKeeper(S& aService, T& aTimer, LeaseSettings aSettings)
    : service(aService)
    , timer(aTimer)
    , settings(std::move(aSettings))
  {
  }

  // Returns the number that fences orders, or nullopt if this process may not
  // hold the lease any more.
  std::optional<std::uint64_t> FencingNumber() const
  {
    if (!this->held || this->timer.Now() >= this->held->validUntil) {
      return std::nullopt;
    }
    return this->held->fencingNumber;
  }

  // Returns the time until which this process relies on the lease, or the epoch
  // if it has none.
  TimePoint ValidUntil() const
  {
    return this->held ? this->held->validUntil : TimePoint();
  }

  // Acquires and renews the lease, and acquires it again after a loss, until
  // Stop is called.
  Task<void> Run()
  {
    const Duration renewInterval = this->settings.timeToLive / 3;
    while (!this->stopping) {
      FailureReason reason;
      const TimePoint deadline = this->timer.Now() + renewInterval;
      if (this->FencingNumber()) {
        co_await this->Renew(deadline, reason);
      } else if (!co_await this->Acquire(deadline, reason)) {
        co_await this->WaitUntilFree(reason);
        continue;
      }
      co_await this->timer.WaitUntil(deadline);
    }
    co_await this->Release();
  }

  // Makes Run release the lease and return after its current step.
  void Stop() { this->stopping = true; }

  // Tries once. Sets the reason to Conflict if another process holds the lease.
  Task<bool> Acquire(TimePoint aDeadline, FailureReason& aReason)
  {
    this->held.reset();
    const TimePoint sentAt = this->timer.Now();
    const auto lease = co_await this->service.GrantLease(
      this->settings.timeToLive, aDeadline, aReason);
    if (!lease) {
      co_return false;
    }
    const PutRequest put{ .key = this->settings.key,
                          .value = this->settings.holder + " " +
                                   std::to_string(*lease),
                          .expectedRevision = 0,
                          .lease = *lease };
    const WriteResult result =
      co_await this->service.Put(put, aDeadline, aReason);
    if (result.outcome != WriteOutcome::Applied) {
      this->blockingRevision = result.current ? result.current->modRevision : 0;
      co_return false;
    }
    if (IncarnationOf(result.revision) != LeaseIncarnationOf(*lease)) {
      Fail(aReason, ReasonCode::Expired, "the service was restored");
      co_return false;
    }
    this->held = HeldLease{ *lease,
                            static_cast<std::uint64_t>(result.revision),
                            this->ReliedUntil(sentAt) };
    co_return this->FencingNumber().has_value();
  }

  // Tries to renew once. After a failure the lease stays valid until its time
  // is over, unless the service reports that it has expired.
  Task<bool> Renew(TimePoint aDeadline, FailureReason& aReason)
  {
    const TimePoint sentAt = this->timer.Now();
    FailureReason callReason;
    const auto remaining = co_await this->service.KeepAlive(
      this->held->lease, aDeadline, callReason);
    if (remaining) {
      this->held->validUntil = this->ReliedUntil(sentAt);
      co_return true;
    }
    if (callReason.code == ReasonCode::Expired) {
      this->held.reset();
    }
    aReason = callReason;
    co_return false;
  }

  // Releases the lease, so that the next holder need not wait for its expiry.
  Task<void> Release()
  {
    if (!this->FencingNumber()) {
      co_return;
    }
    const auto revision = static_cast<std::int64_t>(this->held->fencingNumber);
    this->held.reset();
    FailureReason ignored;
    const TimePoint deadline =
      this->timer.Now() + this->settings.timeToLive / 3;
    co_await this->service.Delete(
      this->settings.key, revision, deadline, ignored);
  }

private:
  TimePoint ReliedUntil(TimePoint aSentAt) const
  {
    return aSentAt +
           FromSeconds(kReliedFraction * ToSeconds(this->settings.timeToLive));
  }

  // Waits until the key may be free: for its deletion if another process holds
  // it, otherwise for a fifth of the time to live.
  Task<void> WaitUntilFree(FailureReason aAcquireReason)
  {
    const TimePoint end = this->timer.Now() + this->settings.timeToLive;
    if (aAcquireReason.code != ReasonCode::Conflict) {
      co_await this->timer.WaitUntil(this->timer.Now() +
                                     this->settings.timeToLive / 5);
      co_return;
    }
    std::int64_t next = this->blockingRevision + 1;
    while (!this->stopping) {
      FailureReason reason;
      const auto batch =
        co_await this->service.Watch(this->settings.key, next, end, reason);
      if (!batch || this->timer.Now() >= end) {
        co_await this->timer.WaitUntil(
          std::min(end, this->timer.Now() + this->settings.timeToLive / 5));
        co_return;
      }
      next = batch->nextRevision;
      for (const WatchEvent& event : batch->events) {
        if (event.deleted) {
          co_return;
        }
      }
    }
  }

  S& service;
  T& timer;
  LeaseSettings settings;
  std::optional<HeldLease> held;
  std::int64_t blockingRevision = 0;
  bool stopping = false;
};

} // namespace wigeonwalk
