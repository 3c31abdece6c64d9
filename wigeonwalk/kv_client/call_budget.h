// The number of calls to the key-value service that one daemon may make.
//
//   CallBudget budget(BudgetFor(members, ownedClaimShards), now);
//   if (auto later = budget.Take(KeyValueUser::Claims, now)) {
//     co_await timer.WaitUntil(*later);
//   }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/kv_client/key_value_user.h"

#include <array>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// Calls a second that all daemons together make besides claims. The service
// answers about 2,000 reads a second; half is left for peaks and other users.
inline constexpr double kFleetCallsPerSecond = 1'000;

// Calls a second for each owned claim shard: 4 appends, and room for sealing
// segments and reading back. 48 shards make 288 a second for the fleet.
inline constexpr double kCallsPerClaimShard = 6;

// Highest rate of one daemon in a small fleet.
inline constexpr double kMostCallsPerSecond = 100;

// A rate of calls, and how many may be made at once after a quiet time.
struct BudgetRate
{
  double callsPerSecond = 0;
  double burst = 0;
};

// Returns the rate of one daemon among `aMembers` that owns some claim shards.
BudgetRate
BudgetFor(std::uint32_t aMembers, std::uint32_t aOwnedClaimShards);

// A token bucket for each user and one that they share. In any span of s
// seconds at most rate x s + burst + one for each user are taken. One thread.
class CallBudget
{
public:
  CallBudget(BudgetRate aRate, TimePoint aNow);

  // Takes one call. Returns nothing where it was taken, otherwise the earliest
  // time at which it may be there.
  std::optional<TimePoint> Take(KeyValueUser aUser, TimePoint aNow);

  // Changes the rate, for instance after the number of members changed.
  void SetRate(BudgetRate aRate, TimePoint aNow);

  // Leaves one call, so that a daemon starts at its rate after an outage and
  // not with a burst.
  void Drain(TimePoint aNow);

  const BudgetRate& Rate() const { return this->rate; }

private:
  struct Bucket
  {
    double tokens = 0;
    double perSecond = 0;
    double most = 1;

    void Refill(double aSeconds);
    // Seconds until `aNeeded` tokens are there.
    double SecondsUntil(double aNeeded) const;
  };

  void Refill(TimePoint aNow);

  BudgetRate rate;
  TimePoint refilledAt;
  Bucket shared;
  std::array<Bucket, kKeyValueUsers> own;
};

} // namespace wigeonwalk
