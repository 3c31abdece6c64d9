// Choice of a runner and a restore plan for one request.
//
// Each candidate has a cost in seconds. Its components are kept, so that an
// operator can see why a runner was chosen.
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

// Marks a pair of zones that are the same, and so have no link between them.
inline constexpr ViewIndex kNoLink = UINT32_MAX;

// The state of a runner, as currently estimated by the daemon.
struct RunnerView
{
  UpstreamId id;
  ViewIndex zone = 0;
  // Prefill work ahead of a new request, from LoadEstimate::Waiting.
  double waitSeconds = 0;
  double prefillTokensPerSecond = 0;
  // Leading pieces of this request's prompt in the runner's own cache, and the
  // confidence in them, from EngineCacheTracker::LongestPrefix.
  std::size_t cachedPieces = 0;
  double cachedWeight = 0;
};

// The state of a link, as currently estimated by its LinkModel.
struct LinkView
{
  double waitSeconds = 0;
  double bytesPerSecond = 0;
  double latencySeconds = 0;
  // Fraction of packets lost. Each loss costs about one more round trip.
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

// All runners, links and stored pieces that a placement compares.
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
  PlacementGoal placementGoal = PlacementGoal::TimeToFirstToken;
};

// How candidates are compared.
struct PlacementOptions
{
  // Seconds that each second of recomputation costs in addition, if the service
  // weighs the share of recomputed tokens.
  double recomputePrice = 4;
  // Fraction of the prefill time that counts as delay of other requests, for
  // each second of wait at the median runner, up to displacementLimit seconds.
  double displacementPrice = 0.5;
  double displacementLimit = 2;
  // Candidates whose cost exceeds the best by at most the larger of this
  // fraction and these seconds are equivalent. The choice among them is random,
  // so that daemons with the same view do not all choose the same runner.
  double spreadFraction = 0.05;
  double spreadSeconds = 0.02;
  // If false, plans with a restore are not considered.
  bool mayRestore = true;
};

// The components of a cost, in seconds.
struct CostBreakdown
{
  double queueWait = 0;
  // Restore time in excess of the queue wait, with which it overlaps.
  double restore = 0;
  double prefill = 0;
  double zoneDistance = 0;
  double displacement = 0;
  // Price of recomputation, if the service weighs it.
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
// runner's cache, pieces from there to before `restoreTo` are restored, and the
// rest is computed.
struct Candidate
{
  ViewIndex runner = 0;
  std::size_t restoreFrom = 0;
  std::size_t restoreTo = 0;
  CostBreakdown cost;

  // Returns "runner-3 pieces 2-6 total 0.412 s = queue 0.100 + ...".
  std::string Explain(const PlacementView& aView) const;
};

// The chosen candidate, and the best candidate of each runner in the view's
// order.
struct Placement
{
  std::optional<Candidate> chosen;
  // Copies to read, one for each restored piece of the chosen candidate.
  std::vector<StoredCopy> sources;
  std::vector<Candidate> candidates;
};

// Prefill of at most this many tokens counts as short.
inline constexpr double kShortPrefillTokens = 2.0 * kPieceTokens;

// Returns the class under which an engine should queue a request. A request
// whose prompt is restored or cached except for a short remainder goes first:
// it delays others by a fraction of a second, but would itself wait for the
// prefill of whole prompts.
constexpr RequestClass
EngineRequestClass(RequestClass aClass, double aPrefillTokens)
{
  return aPrefillTokens <= kShortPrefillTokens ? RequestClass::Interactive
                                               : aClass;
}

// Chooses among all runners of the view. `aRandom` is any number that differs
// between requests. For hundreds of runners, call it on the worker pool; see
// placement_benchmark.cc.
Placement
Place(const PlacementRequest& aRequest,
      const PlacementView& aView,
      const PlacementOptions& aOptions,
      std::uint64_t aRandom);

} // namespace wigeonwalk
