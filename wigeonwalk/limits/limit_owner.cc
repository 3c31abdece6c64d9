#include "wigeonwalk/limits/limit_owner.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

using namespace std::chrono_literals;

void
ReachableFraction::Observe(std::uint32_t aReachable,
                           std::uint32_t aLeft,
                           TimePoint aNow)
{
  this->reachable = std::max(aReachable, 1U);
  for (Sample& sample : this->samples) {
    sample.members -= std::min(sample.members, aLeft);
  }
  // A sample's time is when the count dropped below that of the previous
  // sample.
  Sample sample{ aNow, this->reachable };
  while (!this->samples.empty() &&
         this->samples.back().members <= this->reachable) {
    sample.at = this->samples.back().at;
    this->samples.pop_back();
  }
  this->samples.push_back(sample);
  while (this->samples.size() > 1 && this->samples[1].at + kHoldTime <= aNow) {
    this->samples.pop_front();
  }
}

FleetReach
ReachableFraction::Now() const
{
  FleetReach reach;
  reach.total = this->samples.empty()
                  ? this->reachable
                  : std::max(this->reachable, this->samples.front().members);
  reach.fraction = static_cast<double>(this->reachable) / reach.total;
  return reach;
}

namespace {

// Seconds of unused rate that individual admissions may use at once, and the
// maximum time for which a bucket is refilled in one step.
constexpr double kBurstSeconds = 0.25;
constexpr double kMaxRefillSeconds = 5;

// The bucket of a new pair starts as if it had been refilled for this long.
constexpr Duration kInitialRefillTime = std::chrono::seconds(1);

} // namespace

// Returns the host's part of the pool in proportion to its demand, limited to
// what remains of the pool after the amounts that other daemons may still hold.
LimitOwner::Part
LimitOwner::Grant(const Pair& aPair,
                  const HostId& aHost,
                  LimitKind aKind,
                  double aPool,
                  double aFallback,
                  TimePoint aNow)
{
  double demand = 0;
  double outstanding = 0;
  for (const auto& [host, holder] : aPair.holders) {
    const bool missing = holder.expiresAt <= aNow;
    demand += missing ? 0 : holder.demand[aKind];
    if (missing) {
      outstanding += aFallback;
    } else if (host != aHost) {
      outstanding += std::max(holder.held[aKind], holder.granted[aKind]);
    }
  }
  const double hostDemand = aPair.holders.at(aHost).demand[aKind];
  const double available = std::max(0.0, aPool - outstanding);
  const double share = demand > 0 ? aPool * hostDemand / demand : 0;
  Part part;
  part.contended = kDemandHeadroom * demand > aPool;
  part.amount = std::min(share, kDemandHeadroom * hostDemand);
  if (aKind == LimitKind::ConcurrentRequests) {
    // Whole requests, rounded up so that daemons with small parts do not all
    // get zero; `available` still bounds the sum.
    part.amount = std::floor(std::min(std::ceil(part.amount), available));
  } else {
    part.amount = std::min(part.amount, available);
  }
  return part;
}

Allotment
LimitOwner::AnswerIndividually(Pair& aPair,
                               const DemandReport& aReport,
                               const LimitAmounts& aPools,
                               TimePoint aNow)
{
  LimitAmounts outstanding;
  for (const auto& [host, holder] : aPair.holders) {
    for (const auto& row : EnumNames<LimitKind>::kTable) {
      outstanding[row.value] +=
        host == aReport.host
          ? 0
          : std::max(holder.held[row.value], holder.granted[row.value]);
    }
  }
  const double seconds =
    std::min(kMaxRefillSeconds, ToSeconds(aNow - aPair.refilledAt));
  aPair.refilledAt = aNow;
  bool rateAvailable = true;
  for (const LimitKind kind :
       { LimitKind::RequestsPerSecond, LimitKind::TokensPerSecond }) {
    if (aPools[kind] == kNoLimit) {
      continue;
    }
    const double rate = std::max(0.0, aPools[kind] - outstanding[kind]);
    double& balance = aPair.balance[kind];
    balance = std::min(balance + rate * seconds, 1 + rate * kBurstSeconds);
    rateAvailable = rateAvailable &&
                    balance >= (kind == LimitKind::RequestsPerSecond ? 1 : 0);
  }
  const double running = aReport.demand[LimitKind::ConcurrentRequests];
  const bool belowConcurrencyLimit =
    outstanding[LimitKind::ConcurrentRequests] + running <=
    aPools[LimitKind::ConcurrentRequests];
  Allotment answer{ aReport.key, {}, kUncontendedValidity, true, false };
  answer.admitsRequest =
    aReport.requestWaits && rateAvailable && belowConcurrencyLimit;
  if (answer.admitsRequest) {
    aPair.balance[LimitKind::RequestsPerSecond] -= 1;
    aPair.balance[LimitKind::TokensPerSecond] -=
      aReport.demand[LimitKind::TokensPerSecond] /
      std::max(aReport.demand[LimitKind::RequestsPerSecond], 1e-9);
  }
  // The demand includes the waiting request, which does not run if it was not
  // admitted.
  const bool waits = aReport.requestWaits && !answer.admitsRequest;
  answer.amounts[LimitKind::ConcurrentRequests] =
    std::max(0.0, running - (waits ? 1 : 0));
  if (answer.amounts == LimitAmounts()) {
    aPair.holders.erase(aReport.host);
  } else {
    aPair.holders[aReport.host] = {
      answer.amounts, {}, answer.amounts, aNow + kUncontendedValidity
    };
  }
  return answer;
}

Allotment
LimitOwner::Answer(const DemandReport& aReport,
                   const LimitAmounts& aLimits,
                   const FleetReach& aReach,
                   TimePoint aNow)
{
  Pair newPair;
  newPair.refilledAt = aNow - kInitialRefillTime;
  newPair.learningUntil = this->changedAt + kLearningTime;
  Pair& pair = this->pairs.try_emplace(aReport.key, newPair).first->second;
  std::erase_if(pair.holders, [&](const auto& aRow) {
    return aRow.second.expiresAt + kMissingHolderTime <= aNow;
  });
  if (aReport.demand == LimitAmounts()) {
    pair.holders.erase(aReport.host);
    return { aReport.key, {}, kContendedValidity };
  }
  if (aReport.demand[LimitKind::RequestsPerSecond] < kIndividualAdmissionRate) {
    LimitAmounts pools;
    for (const auto& row : EnumNames<LimitKind>::kTable) {
      pools[row.value] = aLimits[row.value] == kNoLimit
                           ? kNoLimit
                           : aLimits[row.value] * aReach.fraction;
    }
    return AnswerIndividually(pair, aReport, pools, aNow);
  }
  Holder& holder = pair.holders[aReport.host];
  holder.demand = aReport.demand;
  holder.held = aReport.held;
  holder.granted = {};
  holder.expiresAt = aNow + kContendedValidity;
  const bool learning = aNow < pair.learningUntil;
  bool contended = learning;
  for (const auto& row : EnumNames<LimitKind>::kTable) {
    const LimitKind kind = row.value;
    const double limit = aLimits[kind];
    if (limit == kNoLimit) {
      holder.granted[kind] = kNoLimit;
      continue;
    }
    const double pool = limit * aReach.fraction;
    const Part part =
      Grant(pair, aReport.host, kind, pool, limit / aReach.total, aNow);
    const double smallShare = std::min(part.amount, limit / aReach.total);
    holder.granted[kind] =
      learning ? std::min(pool, std::max(aReport.held[kind], smallShare))
               : part.amount;
    contended = contended || part.contended;
  }
  const auto holders = static_cast<double>(pair.holders.size());
  const Duration reportTime =
    FromSeconds(kReportsPerAllotment * holders / kReportsPerSecond);
  const Duration validFor =
    contended
      ? std::clamp(reportTime, kContendedValidity, kUncontendedValidity - 1s)
      : kUncontendedValidity;
  holder.expiresAt = aNow + validFor;
  return { aReport.key, holder.granted, validFor };
}

void
LimitOwner::RemoveExpired(TimePoint aNow)
{
  std::erase_if(this->pairs, [&](const auto& aRow) {
    return std::all_of(aRow.second.holders.begin(),
                       aRow.second.holders.end(),
                       [&](const auto& aHolder) {
                         return aHolder.second.expiresAt + kMissingHolderTime <=
                                aNow;
                       });
  });
}

} // namespace wigeonwalk
