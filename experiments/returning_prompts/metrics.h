// Results of one replay.
//
//   ReplayMetrics metrics = Summarise(deployment, outcomes);
//   metrics.p95;
#pragma once

#include "returning_prompts/trace.h"

#include <vector>

namespace wigeonwalk::replay {

// Previously served pieces that were recomputed, by cause: numbers of pieces in
// Outcome, fractions of all pieces served before in ReplayMetrics.
struct RecomputeCauses
{
  // No copy was known.
  double notStored = 0;
  // Copies were known, but recomputing was estimated to cost less.
  double recomputeCheaper = 0;
  // The runner had evicted pieces that the daemon expected it to hold.
  double evictedByRunner = 0;
  // A store host failed during the restore.
  double restoreFailed = 0;
};

// Result of one request.
struct Outcome
{
  std::uint32_t organisation = 0;
  double firstTokenSeconds = 0;
  double promptTokens = 0;
  // Tokens that were served before, and how many of them were recomputed.
  double seenTokens = 0;
  double recomputedTokens = 0;
  // Whether the first token came before the end of the trace.
  bool inTime = true;
  bool returning = false;
  RecomputeCauses causes;
};

// Metrics of one policy in one replayed case.
struct ReplayMetrics
{
  std::size_t requests = 0;
  // Percentiles of the time to first token, in seconds.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // 95th percentile over the requests whose prompt had been served before.
  double p95Returning = 0;
  double shareRecomputed = 0;
  // Recomputed pieces by cause, as fractions of all pieces served before.
  RecomputeCauses causeShares;
  // Mean utilisation of the links to store hosts and of those between zones,
  // from 0 to 1.
  double storeLinkUtilisation = 0;
  double zoneLinkUtilisation = 0;
  // Fraction of the time in which runners prefilled prompts.
  double runnerUtilisation = 0;
  // Jain's fairness index over the organisations: of the tokens served in time,
  // each organisation's as a fraction, at most 1, of its weighted fair share.
  double fairness = 0;

  // Returns the metric that the placement goal minimises: p95 of the time to
  // first token in seconds, or the share of recomputed tokens.
  double GoalMetric(PlacementGoal aGoal) const;

  // Returns GoalMetric with p95 taken over returning prompts only; the share of
  // recomputed tokens is unchanged. A cache can help only returning prompts,
  // and p95 over all prompts is determined by the prefill of prompts that are
  // served for the first time and have nothing to restore.
  double ReturningGoalMetric(PlacementGoal aGoal) const;
};

ReplayMetrics
Summarise(const Deployment& aDeployment, std::vector<Outcome> aOutcomes);

} // namespace wigeonwalk::replay
