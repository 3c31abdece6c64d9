// Decides from when on a daemon that acquired the lease on orders gives orders.
//
//   OrderHandover handover(leastTime, timeToLive);
//   handover.NoteIncarnation(incarnation, holdsLease, now);
//   handover.NoteAcquired(LastHolder::Self, now);
//   if (now >= handover.OrdersFrom()) { ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// What the registry's record says of the last holder of the lease.
enum class LastHolder
{
  // There is no record.
  None,
  // The record is of an earlier incarnation of the registry: there may have
  // been other holders since.
  Unknown,
  Self,
  Other,
};

// Keeps the deployment's least time between the orders of two daemons, also
// across a restore of the registry, in which the lease and the record of its
// holder may be lost. Not thread-safe.
class OrderHandover
{
public:
  // `aLeastTime` is the least time between the orders of two daemons,
  // `aTimeToLive` the longest time for which a daemon without access to the
  // registry relies on its lease.
  OrderHandover(Duration aLeastTime, Duration aTimeToLive)
    : leastTime(aLeastTime)
    , timeToLive(aTimeToLive)
  {
  }

  // Records an incarnation of the registry. `aHoldsLease` tells whether this
  // daemon has held the lease until now.
  void NoteIncarnation(std::int64_t aIncarnation,
                       bool aHoldsLease,
                       TimePoint aNow)
  {
    if (this->incarnation && *this->incarnation >= aIncarnation) {
      return;
    }
    const bool wasLast =
      this->isLastHolder && aNow - this->learntAt <= this->timeToLive;
    this->sawRestore = this->incarnation.has_value();
    this->isLastHolder = this->sawRestore && (aHoldsLease || wasLast);
    this->incarnation = aIncarnation;
    this->learntAt = aNow;
  }

  // Records that this daemon acquired the lease in the incarnation that was
  // noted last.
  void NoteAcquired(LastHolder aLast, TimePoint aNow)
  {
    TimePoint from = aNow;
    if (aLast == LastHolder::Other) {
      from = aNow + this->leastTime;
    }
    const bool mayFollowOther =
      this->sawRestore || aLast == LastHolder::Unknown;
    if (mayFollowOther && !this->isLastHolder) {
      // A holder that has not learnt of the restore relies on its lease.
      const TimePoint since = this->learntAt + this->timeToLive;
      from = std::max(from, since + this->leastTime);
    }
    this->ordersFrom = std::max(this->ordersFrom, from);
  }

  TimePoint OrdersFrom() const { return this->ordersFrom; }

  // Returns true if this daemon was the last holder before the restore that it
  // saw last.
  bool IsLastHolder() const { return this->isLastHolder; }

  // Returns true if the registry was restored a short time ago, so that the
  // last holder may try to acquire the lease first.
  bool FollowsRestore(TimePoint aNow) const
  {
    return this->sawRestore && aNow - this->learntAt <= this->timeToLive;
  }

private:
  Duration leastTime;
  Duration timeToLive;
  std::optional<std::int64_t> incarnation;
  TimePoint learntAt;
  TimePoint ordersFrom;
  bool sawRestore = false;
  bool isLastHolder = false;
};

} // namespace wigeonwalk
