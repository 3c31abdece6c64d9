// Retry budget: bounds the load that retries and hedges add in an outage.
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

// Sizes of the budget. The defaults add at most 15% to the recent successes.
struct RetryBudgetSettings
{
  // Retries that each success of a pair adds to the pair's own credit.
  double share = 0.1;
  // Retries that each success adds to the daemon's reserve. At the target a
  // pair sees one request in 13 s at one daemon, too few for a credit of its
  // own, so that rare pairs draw on the reserve.
  double reserveShare = 0.05;
  // Retries a second that the reserve gains without any success, so that a
  // quiet daemon can retry at all. 350 daemons add 35/s, 0.6% of 6,200/s.
  double reservePerSecond = 0.1;
  double longestCredit = 10;
  double longestReserve = 20;
  // Credit decays with this time constant, so that only recent successes count.
  Duration memory = std::chrono::seconds(10);
  // Least time between two draws of one pair on the reserve, so that one
  // organisation cannot use up the reserve of the others.
  Duration reserveInterval = std::chrono::seconds(5);
  // Most pairs that are remembered; the least recently used is dropped.
  std::size_t pairs = 4096;
};

// Counts retries against recent successes for each service and organisation.
// One thread only.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetSettings aSettings = {});

  // Records a request that succeeded at its first attempt or later.
  void RecordSuccess(const OrganisationId& aOrganisation,
                     const ServiceName& aService,
                     TimePoint aNow);

  // Takes one retry or hedge from the budget. Returns false where it is used
  // up; the failure then goes to the caller with its verdict.
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
    TimePoint usedReserveAt;
  };

  Credit& Updated(const PairKey& aKey, TimePoint aNow);
  void UpdateReserve(TimePoint aNow);
  double Decayed(double aAmount, Duration aElapsed) const;
  void DropOldest();

  RetryBudgetSettings settings;
  std::unordered_map<PairKey, Credit, PairHash> credits;
  double reserve = 1;
  TimePoint reserveAt;
};

} // namespace wigeonwalk
