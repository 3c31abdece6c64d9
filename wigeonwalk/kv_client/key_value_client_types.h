// Settings and counters of the client of the key-value service.
//
//   KeyValueClientSettings settings{ .seed = seed, .budget = BudgetFor(n, 1) };
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/kv_client/call_budget.h"
#include "wigeonwalk/kv_client/key_value_user.h"

#include <array>
#include <cstdint>
#include <memory>
#include <utility>

namespace wigeonwalk {

struct KeyValueClientSettings
{
  // Must differ between daemons, so that their backoffs differ.
  std::uint64_t seed = 0;
  BudgetRate budget{ 10, 20 };
  // Timeout of one attempt.
  Duration attemptTimeout = std::chrono::seconds(1);
  // Delay after which a read is sent a second time. The service answers within
  // milliseconds, so this happens to few reads.
  Duration hedgeAfter = std::chrono::milliseconds(50);
  // Maximum duration of one watch call: the longest time for which a silently
  // broken connection can hide a change.
  Duration maxWatchDuration = std::chrono::seconds(3);
  // Interval at which a watch without changes is compared with a listing, in
  // case the service accepts watches but does not report changes.
  Duration listingInterval = std::chrono::seconds(30);
};

// Counters of one client since its start.
struct KeyValueClientCounts
{
  // Calls sent, by user.
  std::array<std::uint64_t, kKeyValueUsers> sent{};
  // Calls not sent because the service did not answer.
  std::uint64_t blockedByGate = 0;
  // Calls not sent because the budget had no token before their deadline.
  std::uint64_t overBudget = 0;
  std::uint64_t hedges = 0;
  std::uint64_t readBacks = 0;
  // Changes that a listing found but the watch had not reported.
  std::uint64_t missedByWatch = 0;
};

// Counts a watch call while it is in progress. Shares ownership of the counter,
// because a cancelled coroutine can end after the client was destroyed.
class PendingWatch
{
public:
  explicit PendingWatch(std::shared_ptr<std::uint32_t> aCount)
    : count(std::move(aCount))
  {
    ++*this->count;
  }
  PendingWatch(const PendingWatch&) = delete;
  PendingWatch& operator=(const PendingWatch&) = delete;
  ~PendingWatch() { --*this->count; }

private:
  std::shared_ptr<std::uint32_t> count;
};

} // namespace wigeonwalk
