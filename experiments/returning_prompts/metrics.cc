#include "returning_prompts/metrics.h"

#include "wigeonwalk/cache/piece_key.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk::replay {

namespace {

double
Percentile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const double rank =
    std::ceil(aQuantile * static_cast<double>(aSorted.size()));
  return aSorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

// Divides a capacity between organisations by weight, none of which gets more
// than its demand (max-min fairness).
std::vector<double>
FairShares(const Deployment& aDeployment,
           const std::vector<double>& aDemands,
           double aCapacity)
{
  std::vector<double> shares(aDemands.size(), 0);
  for (std::size_t round = 0; round < aDemands.size(); ++round) {
    double weight = 0;
    double left = aCapacity;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      left -= shares[i];
      weight +=
        shares[i] < aDemands[i] ? aDeployment.organisations[i].weight : 0;
    }
    if (weight <= 0 || left <= 0) {
      break;
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (shares[i] < aDemands[i]) {
        const double part = left * aDeployment.organisations[i].weight / weight;
        shares[i] = std::min(aDemands[i], shares[i] + part);
      }
    }
  }
  return shares;
}

double
JainIndex(const Deployment& aDeployment, const std::vector<Outcome>& aOutcomes)
{
  const std::size_t count = aDeployment.organisations.size();
  std::vector<double> demands(count, 0);
  std::vector<double> served(count, 0);
  double capacity = 0;
  for (const Outcome& outcome : aOutcomes) {
    demands[outcome.organisation] += outcome.promptTokens;
    if (outcome.inTime) {
      served[outcome.organisation] += outcome.promptTokens;
      capacity += outcome.promptTokens;
    }
  }
  const auto shares = FairShares(aDeployment, demands, capacity);
  double sum = 0;
  double squares = 0;
  double members = 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (shares[i] > 0) {
      const double fraction = std::min(1.0, served[i] / shares[i]);
      sum += fraction;
      squares += fraction * fraction;
      members += 1;
    }
  }
  return squares > 0 ? sum * sum / (members * squares) : 1;
}

} // namespace

double
ReplayMetrics::GoalMetric(PlacementGoal aGoal) const
{
  return aGoal == PlacementGoal::TimeToFirstToken ? this->p95
                                                  : this->shareRecomputed;
}

double
ReplayMetrics::ReturningGoalMetric(PlacementGoal aGoal) const
{
  return aGoal == PlacementGoal::TimeToFirstToken ? this->p95Returning
                                                  : this->shareRecomputed;
}

ReplayMetrics
Summarise(const Deployment& aDeployment, std::vector<Outcome> aOutcomes)
{
  ReplayMetrics metrics;
  metrics.requests = aOutcomes.size();
  std::vector<double> times;
  std::vector<double> returning;
  double seen = 0;
  double recomputed = 0;
  for (const Outcome& outcome : aOutcomes) {
    times.push_back(outcome.firstTokenSeconds);
    if (outcome.returning) {
      returning.push_back(outcome.firstTokenSeconds);
    }
    seen += outcome.seenTokens;
    recomputed += outcome.recomputedTokens;
    metrics.causeShares.notStored += outcome.causes.notStored;
    metrics.causeShares.recomputeCheaper += outcome.causes.recomputeCheaper;
    metrics.causeShares.evictedByRunner += outcome.causes.evictedByRunner;
    metrics.causeShares.restoreFailed += outcome.causes.restoreFailed;
  }
  std::sort(times.begin(), times.end());
  std::sort(returning.begin(), returning.end());
  metrics.p95Returning = Percentile(returning, 0.95);
  metrics.p50 = Percentile(times, 0.5);
  metrics.p95 = Percentile(times, 0.95);
  metrics.p99 = Percentile(times, 0.99);
  const double pieces = std::max(1.0, seen / kPieceTokens);
  metrics.causeShares.notStored /= pieces;
  metrics.causeShares.recomputeCheaper /= pieces;
  metrics.causeShares.evictedByRunner /= pieces;
  metrics.causeShares.restoreFailed /= pieces;
  metrics.shareRecomputed = seen > 0 ? recomputed / seen : 0;
  metrics.fairness = JainIndex(aDeployment, aOutcomes);
  return metrics;
}

} // namespace wigeonwalk::replay
