// Places a request: builds a placement view from the daemon's state, and turns
// the resulting placement into a runner and the pieces to restore to it.
//
//   Placer placer(upstreams, cache, zone);
//   auto placed = placer.Place(input, now, reason);
#pragma once

#include "wigeonwalk/placement/placement.h"
#include "wigeonwalk/serving/cache_state.h"
#include "wigeonwalk/serving/upstream_table.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

namespace wigeonwalk {

// One request to place.
struct PlacementInput
{
  const ServiceDocument& document;
  // Only runners with this weight version are candidates.
  WeightVersion version;
  std::span<const PieceKey> chain;
  std::uint64_t promptTokens = 0;
  // Stored copies of the leading pieces, from the directory.
  const std::vector<std::vector<PieceCopy>>& copies;
  // Runners that must not be chosen, such as those on which an attempt failed.
  const std::unordered_set<UpstreamId>& excluded;
  // If set, the only runner that may be chosen.
  std::optional<UpstreamId> only;
  std::uint64_t random = 0;
};

// The chosen runner, the pieces to restore to it, and an explanation.
struct PlacedRequest
{
  RunnerSpec runner;
  std::vector<SealedPiece> restore;
  CostBreakdown cost;
  // Tokens that the runner is expected to compute.
  std::uint64_t computedTokens = 0;
  // One line for each candidate, for operators.
  std::vector<std::string> explanation;
};

// Places requests of one daemon. The references must outlive it.
class Placer
{
public:
  Placer(UpstreamTable& aUpstreams, CacheState& aCache, AvailabilityZone aZone);

  // Returns the placement, or nullopt with the reason Unavailable if no runner
  // is usable.
  std::optional<PlacedRequest> Place(const PlacementInput& aInput,
                                     TimePoint aNow,
                                     FailureReason& aReason);

  // Returns the weight version for a new request. Chooses at random among the
  // versions of the usable runners, so that during a rollout requests are
  // divided between both versions by the number of runners. A runner that has
  // not reported its version counts as serving the document's version, which is
  // also the result if no runner is usable.
  WeightVersion ChooseVersion(const ServiceDocument& aDocument,
                              std::uint64_t aRandom,
                              TimePoint aNow) const;

private:
  struct View;

  void AddRunners(const PlacementInput& aInput, TimePoint aNow, View& aView);
  void AddStores(const PlacementInput& aInput, TimePoint aNow, View& aView);
  ViewIndex ZoneIndex(const AvailabilityZone& aZone, View& aView) const;

  UpstreamTable& upstreams;
  CacheState& cache;
  AvailabilityZone zone;
};

} // namespace wigeonwalk
