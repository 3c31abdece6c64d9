// Leader election: which daemon gives orders to runners.
//
//   OrderLeader leader(state, mirror, store, timer, log);
//   spawn(leader.Run());
//   if (auto number = leader.FencingNumber()) { ... give an order ... }
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Acquires and renews the lease on orders. The fencing number is the revision
// of the lease's key, so each later holder has a higher one. A daemon that
// takes the lease over from another one first waits for the deployment's least
// time between the orders of two holders. One task.
template<KeyValueService S, Timer T, StructuredLog L>
class OrderLeader
{
public:
  static constexpr const char* kLeaseKey = "wigeonwalk/orders/lease";
  // Names the last holder, also after its lease has expired.
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
  {
  }

  // The fencing number for orders; nothing if this daemon may not give any.
  std::optional<std::uint64_t> FencingNumber() const
  {
    if (this->timer.Now() < this->ordersFrom || this->fenced) {
      return std::nullopt;
    }
    return this->keeper.FencingNumber();
  }

  // A runner has seen a higher fencing number, so another daemon holds the
  // lease.
  void NoteFenced() { this->fenced = true; }

  // Runs until the daemon stops, then releases the lease.
  Task<void> Run()
  {
    while (!this->state.stopping) {
      if (this->keeper.FencingNumber() && !this->fenced) {
        co_await this->Renew();
      } else if (this->ShouldAcquire()) {
        co_await this->AcquireLease();
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kLoopInterval);
    }
    co_await this->keeper.Release();
  }

private:
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
    const bool held = this->mirror.Find(kLeaseKey) != nullptr;
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
    const auto rank = static_cast<int>(self - ranked.begin());
    return now - *this->freeSince >= rank * kRankDelay;
  }

  Task<void> AcquireLease()
  {
    FailureReason reason;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    this->freeSince.reset();
    if (!co_await this->keeper.Acquire(deadline, reason)) {
      co_return;
    }
    const TimePoint now = this->timer.Now();
    this->fenced = false;
    this->renewAt = now + kRenewInterval;
    const std::string self = this->state.Settings().host.Text();
    const KeyValueEntry* last = this->mirror.Find(kLastHolderKey);
    const bool takesOver = last != nullptr && last->value != self;
    this->ordersFrom =
      takesOver
        ? now + this->state.Settings().bounds.orderLease + kClockDriftMargin
        : now;
    this->log.Write(now,
                    LogLevel::Info,
                    "lease on orders held",
                    {},
                    { { LogKey::Revision, *this->keeper.FencingNumber() },
                      { LogKey::Age, this->ordersFrom - now } });
    if (last == nullptr || takesOver) {
      co_await this->WriteHolder(self, deadline);
    }
  }

  // Records this daemon as the last holder. The next holder waits only if it
  // finds this record, so the lease is released if it can't be written.
  Task<void> WriteHolder(std::string aSelf, TimePoint aDeadline)
  {
    PutRequest put;
    put.key = kLastHolderKey;
    put.value = aSelf;
    FailureReason reason;
    const WriteResult result = co_await this->store.Put(put, aDeadline, reason);
    if (result.outcome != WriteOutcome::Applied) {
      this->log.Write(this->timer.Now(),
                      LogLevel::Warning,
                      "failed to record the holder of the lease on orders",
                      {},
                      { LogField(reason) });
      co_await this->keeper.Release();
    }
  }

  EntryState& state;
  const ItemMirror& mirror;
  S& store;
  T& timer;
  L& log;
  LeaseKeeper<S, T> keeper;
  TimePoint ordersFrom;
  TimePoint renewAt;
  std::optional<TimePoint> freeSince;
  bool fenced = false;
};

} // namespace wigeonwalk
