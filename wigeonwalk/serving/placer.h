// Places one request: turns what the daemon knows into a placement view and the
// placement into a runner with a restore plan.
//
//   Placer placer(upstreams, cache, zone);
//   auto placed = placer.Place(input, now, reason);
#pragma once

#include "wigeonwalk/placement/placement.h"
#include "wigeonwalk/serving/cache_view.h"
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
  // Runners that failed this request already.
  const std::unordered_set<UpstreamId>& excluded;
  // Where set, the only runner that may take the request.
  std::optional<UpstreamId> only;
  std::uint64_t random = 0;
};

// The chosen runner, the pieces to restore to it, and the reasons.
struct PlacedRequest
{
  RunnerSpec runner;
  std::vector<SealedPiece> restore;
  CostParts cost;
  // Tokens that the runner is expected to compute.
  std::uint64_t computedTokens = 0;
  // One line for each candidate, for operators.
  std::vector<std::string> explanation;
};

// Places requests of one daemon. The references must outlive it.
class Placer
{
public:
  Placer(UpstreamTable& aUpstreams, CacheView& aCache, AvailabilityZone aZone);

  // Returns the placement, or nothing with Unavailable where no runner is
  // usable.
  std::optional<PlacedRequest> Place(const PlacementInput& aInput,
                                     TimePoint aNow,
                                     LastReason& aReason);

  // The weight version that a new request uses: the document's once enough
  // runners serve it, else the one that most runners report. While a rollout
  // is under way, requests are divided over both by the number of runners.
  WeightVersion ChooseVersion(const ServiceDocument& aDocument,
                              std::uint64_t aRandom,
                              TimePoint aNow) const;

private:
  struct View;

  void AddRunners(const PlacementInput& aInput, TimePoint aNow, View& aView);
  void AddStores(const PlacementInput& aInput, TimePoint aNow, View& aView);
  ViewIndex ZoneIndex(const AvailabilityZone& aZone, View& aView) const;

  UpstreamTable& upstreams;
  CacheView& cache;
  AvailabilityZone zone;
};

} // namespace wigeonwalk
