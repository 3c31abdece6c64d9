// Choice of a runner and of a restore plan for one request.
//
// Each candidate has one cost in seconds, kept in parts so that an operator can
// read why a runner was chosen.
//
//   Placement placement = Place(request, view, options, randomNumber);
//   if (placement.chosen) { const Candidate& best = *placement.chosen; ... }
#pragma once

#include "wigeonwalk/cache/piece_directory.h"
#include "wigeonwalk/cache/piece_key.h"
#include "wigeonwalk/documents/service_document.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wigeonwalk {

// Position of an availability zone, link or runner in a PlacementView.
using ViewIndex = std::uint32_t;

// Marks a pair of zones without a link between them: the same zone.
inline constexpr ViewIndex kNoLink = UINT32_MAX;

// A runner as the daemon believes it to be now.
struct RunnerView
{
  UpstreamId id;
  ViewIndex zone = 0;
  // Prefill work ahead of a new request of this class, from
  // LoadEstimate::Waiting.
  double waitSeconds = 0;
  double prefillTokensPerSecond = 0;
  // Leading pieces of this request's prompt in the runner's own cache, and the
  // confidence in them, from EngineCacheTracker::LongestPrefix.
  std::size_t cachedPieces = 0;
  double cachedWeight = 0;
};

// A link as the daemon believes it to be now, from LinkModel.
struct LinkView
{
  double waitSeconds = 0;
  double bytesPerSecond = 0;
  double latencySeconds = 0;
  // Part of packets lost. Each loss costs about one more round trip.
  double loss = 0;
};

// A stored copy of one piece of the prompt.
struct StoredCopy
{
  // Link of the store host's tier.
  ViewIndex link = 0;
  ViewIndex zone = 0;
  double weight = 1;
  std::uint64_t bytes = 0;
};

// The copies of one piece. A restore reads each piece from the copy that
// arrives first, so that copies on two store hosts are read in parallel.
struct StoredPiece
{
  std::array<StoredCopy, kMaxCopies> copies;
  std::uint32_t count = 0;

  void Add(const StoredCopy& aCopy)
  {
    if (this->count < kMaxCopies) {
      this->copies[this->count++] = aCopy;
    }
  }
};

// Everything that a placement compares.
struct PlacementView
{
  std::span<const RunnerView> runners;
  std::span<const LinkView> links;
  // Link between two zones at [from * zones + to], or kNoLink.
  std::span<const ViewIndex> zoneLinks;
  ViewIndex zones = 1;
  // Leading pieces of the prompt that are stored, in order.
  std::span<const StoredPiece> stored;
};

// The request to place.
struct PlacementRequest
{
  std::uint64_t promptTokens = 0;
  // Zone of this daemon.
  ViewIndex zone = 0;
  Weighing weighing = Weighing::TimeToFirstToken;
};

// How candidates are compared.
struct PlacementOptions
{
  // Further seconds that a recomputed second costs where the service weighs the
  // share recomputed.
  double recomputePrice = 4;
  // Part of the prefill time that counts as delay of other requests, for each
  // second of wait at the median runner, up to displacementLimit seconds.
  double displacementPrice = 0.5;
  double displacementLimit = 2;
  // Candidates within this part and these seconds of the best are equals, among
  // which the choice is random, so that daemons with the same view spread out.
  double spreadPart = 0.05;
  double spreadSeconds = 0.02;
  // False leaves out the restore plans.
  bool mayRestore = true;
};

// The parts of a cost, in seconds.
struct CostParts
{
  double queueWait = 0;
  // Restore time beyond the queue wait, with which it overlaps.
  double restore = 0;
  double prefill = 0;
  double zoneDistance = 0;
  double displacement = 0;
  // Price of recomputing, where the service weighs it.
  double recompute = 0;

  double TimeToFirstToken() const
  {
    return this->queueWait + this->restore + this->prefill + this->zoneDistance;
  }
  double Total() const
  {
    return this->TimeToFirstToken() + this->displacement + this->recompute;
  }
};

// One runner with its best restore plan: pieces before `restoreFrom` are in the
// runner's cache, pieces before `restoreTo` are restored, the rest is computed.
struct Candidate
{
  ViewIndex runner = 0;
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  CostParts cost;

  // Returns "runner-3 pieces 2-6 total 0.412 s = queue 0.100 + ...".
  std::string Explain(const PlacementView& aView) const;
};

// The choice, and the best candidate of each runner in the view's order.
struct Placement
{
  std::optional<Candidate> chosen;
  // Copies to read, one for each restored piece of the chosen candidate.
  std::vector<StoredCopy> sources;
  std::vector<Candidate> candidates;
};

// Chooses among all runners of the view. `aRandom` is any number that differs
// between requests. Call it on the worker pool for
// hundreds of runners; see placement_benchmark.cc.
Placement
Place(const PlacementRequest& aRequest,
      const PlacementView& aView,
      const PlacementOptions& aOptions,
      std::uint64_t aRandom);

} // namespace wigeonwalk
