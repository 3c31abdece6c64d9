// Settings and counts of the client of the key-value service.
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

// What a client is made with.
struct KeyValueClientSettings
{
  // Differs between daemons, so that their backoffs differ.
  std::uint64_t seed = 0;
  BudgetRate budget{ 10, 20 };
  // Longest time that one attempt waits for its answer.
  Duration attemptTimeout = std::chrono::seconds(1);
  // Time after which a read is sent a second time. The service answers in
  // milliseconds, so few reads are.
  Duration hedgeAfter = std::chrono::milliseconds(50);
  // Longest time of one watch call, so that a connection that went silent
  // hides a change for no longer than this.
  Duration watchPeriod = std::chrono::seconds(3);
  // How often a watch without changes is compared with a listing, for a service
  // that accepts watches but reports nothing.
  Duration watchCheck = std::chrono::seconds(30);
};

// Counts of one client since its start.
struct KeyValueClientCounts
{
  // Calls sent, by user.
  std::array<std::uint64_t, kKeyValueUsers> sent{};
  // Calls not sent because the service does not answer.
  std::uint64_t heldBack = 0;
  // Calls not sent because the budget gave nothing before their deadline.
  std::uint64_t overBudget = 0;
  std::uint64_t hedges = 0;
  std::uint64_t readBacks = 0;
  // Changes that a listing found and the watch had not reported.
  std::uint64_t missedByWatch = 0;
};

// Counts one waiting watch. It shares the count, because a cancelled
// coroutine can end after the client.
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
