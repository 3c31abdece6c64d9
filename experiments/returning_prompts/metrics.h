// What one replay measured.
#pragma once

#include "returning_prompts/trace.h"

#include <vector>

namespace wigeonwalk::replay {

// Why pieces that were served before were computed again.
struct RecomputeCauses
{
  // No copy was known.
  double notStored = 0;
  // Copies were known, but computing cost less.
  double chosen = 0;
  // The runner no longer held what it was believed to hold.
  double missed = 0;
  // A store host failed during the restore.
  double failed = 0;
};

// One request's result.
struct Outcome
{
  std::uint32_t organisation = 0;
  double firstTokenSeconds = 0;
  double promptTokens = 0;
  // Tokens that were served before, and those of them computed again.
  double seenTokens = 0;
  double recomputedTokens = 0;
  bool inTime = true;
  bool returning = false;
  RecomputeCauses causes;
};

// Figures of one policy in one row.
struct Figures
{
  std::size_t requests = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // The same percentile over the requests whose prompt had been served before.
  double p95Returning = 0;
  double shareRecomputed = 0;
  // Pieces by cause, as parts of all pieces that were served before.
  RecomputeCauses causes;
  // Part of the time that the links to store hosts were busy, on average.
  double storeLinkUse = 0;
  double zoneLinkUse = 0;
  // Part of the time that runners computed prompts.
  double runnerUse = 0;
  // Jain's index over the part of its weighted fair share that each
  // organisation got, at most 1 each.
  double fairness = 0;

  // The figure that the service weighs: p95 of the time to first token, or the
  // share recomputed.
  double Weighed(PlacementGoal aWeighing) const;

  // The same for what a cache can help. A prompt's first serving has nothing to
  // restore, and its prefill alone sets p95 over all requests.
  double WeighedReturning(PlacementGoal aWeighing) const;
};

Figures
Summarise(const Deployment& aDeployment, std::vector<Outcome> aOutcomes);

} // namespace wigeonwalk::replay
