// Rate limit of one daemon's calls to the key-value service.
//
//   CallBudget budget(BudgetFor(members, ownedClaimShards), now);
//   if (auto availableAt = budget.Take(KeyValueUser::Claims, now)) {
//     co_await timer.WaitUntil(*availableAt);
//   }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/kv_client/key_value_user.h"

#include <array>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// Maximum rate of calls of all daemons together, without those for claims. The
// service can answer about 2,000 reads a second; half of that is left for peaks
// and other users.
inline constexpr double kFleetCallsPerSecond = 1'000;

// Additional calls a second for each owned claim shard: 4 appends, and the rest
// for sealing segments and reading back. With 48 shards, this adds 288 calls a
// second for the fleet.
inline constexpr double kCallsPerClaimShard = 6;

// Maximum rate of one daemon, which applies in a small fleet.
inline constexpr double kMaxCallsPerSecond = 100;

// A rate of calls and the burst that is allowed after an idle time.
struct BudgetRate
{
  double callsPerSecond = 0;
  double burst = 0;
};

// Returns the rate of one of `aMembers` daemons that owns `aOwnedClaimShards`
// claim shards.
BudgetRate
BudgetFor(std::uint32_t aMembers, std::uint32_t aOwnedClaimShards);

// One token bucket for each user and one that all users share. Within any s
// seconds, at most rate x s + burst + one for each user are taken. Not
// thread-safe.
class CallBudget
{
public:
  CallBudget(BudgetRate aRate, TimePoint aNow);

  // Takes one token. Returns nullopt on success, otherwise the earliest time at
  // which a token may be available.
  std::optional<TimePoint> Take(KeyValueUser aUser, TimePoint aNow);

  // Changes the rate, for example when the number of members has changed.
  void SetRate(BudgetRate aRate, TimePoint aNow);

  // Removes all tokens but one shared one, so that a daemon resumes at its rate
  // after an outage instead of with a burst.
  void DropBurst(TimePoint aNow);

  const BudgetRate& Rate() const { return this->rate; }

private:
  struct Bucket
  {
    double tokens = 0;
    double refillRate = 0;
    double capacity = 1;

    void Refill(double aSeconds);
    // Returns the seconds until `aNeeded` tokens are available, or infinity if
    // they never will be.
    double SecondsUntil(double aNeeded) const;
  };

  void Refill(TimePoint aNow);

  BudgetRate rate;
  TimePoint refilledAt;
  Bucket shared;
  std::array<Bucket, kKeyValueUsers> reserved;
};

} // namespace wigeonwalk
