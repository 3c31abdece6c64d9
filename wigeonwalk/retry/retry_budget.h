// Retry budget: limits the load that retries and hedges add during an outage.
//
//   budget.RecordSuccess(organisation, service, now);
//   if (budget.TrySpend(organisation, service, now)) { ... retry ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace wigeonwalk {

// Parameters of the budget. The defaults allow retries of at most 15% of the
// recent successes.
struct RetryBudgetSettings
{
  // Retries that each success of an organisation in a service adds to the
  // credit of this pair.
  double creditPerSuccess = 0.1;
  // Retries that each success adds to the daemon's reserve, which serves pairs
  // with too few requests for a credit of their own: at the target load, one
  // daemon gets one request of a pair in 13 s.
  double reservePerSuccess = 0.05;
  // Retries per second that the reserve gains without any success, so that a
  // daemon with little traffic can retry at all. 350 daemons add 35/s, 0.6% of
  // 6,200/s.
  double reservePerSecond = 0.1;
  double maxCredit = 10;
  double maxReserve = 20;
  // Time constant of the exponential decay of credit and reserve, so that only
  // recent successes count.
  Duration decayTime = std::chrono::seconds(10);
  // Minimum time between two uses of the reserve by one pair, so that one
  // organisation cannot exhaust the reserve for the others.
  Duration reserveInterval = std::chrono::seconds(5);
  // Maximum number of pairs kept; the least recently used one is evicted.
  std::size_t maxPairs = 4096;
};

// Limits retries to a fraction of the recent successes, separately for each
// pair of organisation and service. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings = {});

  // Records a request that succeeded, on its first or on a later attempt.
  void RecordSuccess(const OrganisationId& aOrganisation,
                     const ServiceName& aService,
                     TimePoint aNow);

  // Takes one retry or hedge from the budget. Returns false if it is exhausted;
  // the failure then goes to the caller with its verdict.
  bool TrySpend(const OrganisationId& aOrganisation,
                const ServiceName& aService,
                TimePoint aNow);

  std::size_t Pairs() const { return this->credits.size(); }

private:
  struct PairKey
  {
    OrganisationId organisation;
    ServiceName service;
    bool operator==(const PairKey&) const = default;
  };
  struct PairHash
  {
    std::size_t operator()(const PairKey& aKey) const noexcept;
  };
  struct Credit
  {
    double amount = 0;
    TimePoint updatedAt;
    TimePoint reserveUsedAt;
  };

  Credit& UpdateCredit(const PairKey& aKey, TimePoint aNow);
  void UpdateReserve(TimePoint aNow);
  double Decayed(double aAmount, Duration aElapsed) const;
  void EvictLeastRecentlyUsed();

  RetryBudgetSettings settings;
  std::unordered_map<PairKey, Credit, PairHash> credits;
  double reserve = 1;
  TimePoint reserveUpdatedAt;
};

} // namespace wigeonwalk
