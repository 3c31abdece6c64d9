#include "wigeonwalk/placement/placement.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace wigeonwalk {

namespace {

// Maximum number of links that one plan tracks separately: the tiers of the
// store hosts that hold the prompt's pieces, and the links between zones from
// them to the runner.
constexpr std::size_t kMaxPlanLinks = 16;

// Time that each link needs for the pieces added to a plan so far. Links
// transfer in parallel, so that the slowest one determines the restore time.
class LinkTimes
{
public:
  LinkTimes(const PlacementView& aView, ViewIndex aRunnerZone)
    : view(aView)
    , zone(aRunnerZone)
  {
  }

  // Adds a piece, read from the copy that arrives first. Returns that copy.
  const StoredCopy& Add(const StoredPiece& aPiece)
  {
    const StoredCopy* best = &aPiece.copies[0];
    if (aPiece.count > 1) {
      double earliest = this->Arrival(*best);
      for (std::uint32_t i = 1; i < aPiece.count; ++i) {
        const double arrival = this->Arrival(aPiece.copies[i]);
        if (arrival < earliest) {
          best = &aPiece.copies[i];
          earliest = arrival;
        }
      }
    }
    this->AddTo(best->link, best->bytes);
    const ViewIndex between = this->Between(*best);
    if (between != kNoLink) {
      this->AddTo(between, best->bytes);
    }
    return *best;
  }

  // Returns the time until all pieces so far are restored, in seconds.
  double Slowest() const { return this->slowest; }

private:
  ViewIndex Between(const StoredCopy& aCopy) const
  {
    return aCopy.zone == this->zone
             ? kNoLink
             : this->view.zoneLinks[aCopy.zone * this->view.zones + this->zone];
  }

  // Returns the time at which a copy would arrive after the pieces added before
  // it.
  double Arrival(const StoredCopy& aCopy)
  {
    double arrival = this->TimeWith(aCopy.link, aCopy.bytes);
    const ViewIndex between = this->Between(aCopy);
    if (between != kNoLink) {
      arrival = std::max(arrival, this->TimeWith(between, aCopy.bytes));
    }
    return arrival;
  }

  double TimeWith(ViewIndex aLink, std::uint64_t aBytes)
  {
    return this->times[this->Row(aLink)] +
           static_cast<double>(aBytes) /
             std::max(this->view.links[aLink].bytesPerSecond, 1.0);
  }

  void AddTo(ViewIndex aLink, std::uint64_t aBytes)
  {
    const double time = this->TimeWith(aLink, aBytes);
    this->times[this->Row(aLink)] = time;
    this->slowest = std::max(this->slowest, time);
  }

  // Returns a link's row. Links beyond kMaxPlanLinks share the last one.
  std::size_t Row(ViewIndex aLink)
  {
    std::size_t row = 0;
    while (row < this->used && this->ids[row] != aLink) {
      ++row;
    }
    if (row == this->used) {
      if (row == kMaxPlanLinks) {
        return row - 1;
      }
      const LinkView& link = this->view.links[aLink];
      ++this->used;
      this->ids[row] = aLink;
      this->times[row] =
        link.waitSeconds + link.latencySeconds * (1 + 2 * link.loss);
    }
    return row;
  }

  const PlacementView& view;
  ViewIndex zone;
  std::array<ViewIndex, kMaxPlanLinks> ids{};
  std::array<double, kMaxPlanLinks> times{};
  std::size_t used = 0;
  double slowest = 0;
};

// Restore times by zone and first piece. Runners of a zone share them, so that
// each is computed once per placement.
class RestoreTimes
{
public:
  // Time to restore the pieces up to one, and the expected number of them that
  // turn out to be missing.
  struct Step
  {
    double seconds = 0;
    double missing = 0;
  };

  explicit RestoreTimes(const PlacementView& aView)
    : view(aView)
    , rows(aView.zones * aView.stored.size())
  {
  }

  // Returns one step for each stored piece from `aFrom` on.
  std::span<const Step> From(ViewIndex aZone, std::size_t aFrom)
  {
    const std::size_t pieces = this->view.stored.size();
    if (aFrom >= pieces) {
      return {};
    }
    std::vector<Step>& row = this->rows[aZone * pieces + aFrom];
    if (row.empty()) {
      row.reserve(pieces - aFrom);
      LinkTimes times(this->view, aZone);
      double missing = 0;
      for (std::size_t i = aFrom; i < pieces; ++i) {
        missing += 1 - times.Add(this->view.stored[i]).weight;
        row.push_back({ times.Slowest(), missing });
      }
    }
    return row;
  }

private:
  const PlacementView& view;
  std::vector<std::vector<Step>> rows;
};

// Computes the costs of one runner's plans.
class RunnerCosts
{
public:
  RunnerCosts(const PlacementRequest& aRequest,
              const PlacementView& aView,
              const PlacementOptions& aOptions,
              RestoreTimes& aTimes,
              ViewIndex aRunner,
              double aMedianWait)
    : request(aRequest)
    , view(aView)
    , options(aOptions)
    , times(aTimes)
    , runner(aView.runners[aRunner])
    , index(aRunner)
    , medianWait(aMedianWait)
  {
  }

  // Returns the cheapest plan: no restore, or a restore of some of the stored
  // pieces, starting either after the runner's own cached prefix or, if that is
  // uncertain, at the first piece.
  Candidate Best() const
  {
    const std::size_t cached = this->runner.cachedPieces;
    Candidate best =
      this->Plan(cached, cached, 0, this->ExpectedMissingPieces(cached));
    this->TryRestores(cached, best);
    if (cached > 0 && this->runner.cachedWeight < 1) {
      this->TryRestores(0, best);
    }
    return best;
  }

private:
  void TryRestores(std::size_t aFrom, Candidate& aBest) const
  {
    if (!this->options.mayRestore) {
      return;
    }
    const double expectedMissing = this->ExpectedMissingPieces(aFrom);
    std::size_t held = aFrom;
    for (const auto& step : this->times.From(this->runner.zone, aFrom)) {
      ++held;
      const Candidate candidate =
        this->Plan(aFrom, held, step.seconds, expectedMissing + step.missing);
      if (candidate.cost.Total() < aBest.cost.Total()) {
        aBest = candidate;
      }
    }
  }

  // Returns the expected number of the runner's cached pieces that turn out to
  // be missing, if the plan relies on `aCached` of them.
  double ExpectedMissingPieces(std::size_t aCached) const
  {
    return (1 - this->runner.cachedWeight) * static_cast<double>(aCached);
  }

  Candidate Plan(std::size_t aFrom,
                 std::size_t aHeldPieces,
                 double aRestoreSeconds,
                 double aMissingPieces) const
  {
    Candidate candidate;
    candidate.runner = this->index;
    candidate.restoreFrom = aFrom;
    candidate.restoreTo = aHeldPieces;
    const auto tokens = static_cast<double>(this->request.promptTokens);
    const double held = static_cast<double>(aHeldPieces) * kPieceTokens;
    const double missing = aMissingPieces * kPieceTokens;
    CostBreakdown& cost = candidate.cost;
    cost.queueWait = this->runner.waitSeconds;
    cost.restore = std::max(0.0, aRestoreSeconds - cost.queueWait);
    cost.prefill = (std::max(tokens - held, 1.0) + missing) /
                   this->runner.prefillTokensPerSecond;
    cost.zoneDistance = this->ZoneDistance();
    cost.displacement =
      cost.prefill * this->options.displacementPrice *
      std::min(this->medianWait, this->options.displacementLimit);
    if (this->request.placementGoal == PlacementGoal::ShareRecomputed) {
      cost.recompute = cost.prefill * this->options.recomputePrice;
    }
    return candidate;
  }

  double ZoneDistance() const
  {
    if (this->runner.zone == this->request.zone) {
      return 0;
    }
    const ViewIndex link =
      this->view
        .zoneLinks[this->request.zone * this->view.zones + this->runner.zone];
    if (link == kNoLink) {
      return 0;
    }
    const LinkView& between = this->view.links[link];
    return 2 * between.latencySeconds * (1 + 2 * between.loss);
  }

  const PlacementRequest& request;
  const PlacementView& view;
  const PlacementOptions& options;
  RestoreTimes& times;
  const RunnerView& runner;
  ViewIndex index;
  double medianWait;
};

// Returns the median wait of the runners, in seconds. Uses the median, because
// one runner with a long queue does not mean that work on any other runner
// delays requests.
double
MedianWait(std::span<const RunnerView> aRunners)
{
  if (aRunners.empty()) {
    return 0;
  }
  std::vector<double> waits;
  waits.reserve(aRunners.size());
  for (const RunnerView& runner : aRunners) {
    waits.push_back(runner.waitSeconds);
  }
  const auto middle =
    waits.begin() + static_cast<std::ptrdiff_t>((waits.size() - 1) / 2);
  std::nth_element(waits.begin(), middle, waits.end());
  return *middle;
}

// Chooses at random among the candidates whose cost is close to the best.
const Candidate*
ChooseAmongEquals(const std::vector<Candidate>& aCandidates,
                  const PlacementOptions& aOptions,
                  std::uint64_t aRandom)
{
  const auto best = std::min_element(
    aCandidates.begin(), aCandidates.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.cost.Total() < aRight.cost.Total();
    });
  const double total = best->cost.Total();
  const double limit =
    total + std::max(aOptions.spreadSeconds, aOptions.spreadFraction * total);
  std::uint64_t equals = 0;
  for (const Candidate& candidate : aCandidates) {
    equals += candidate.cost.Total() <= limit ? 1 : 0;
  }
  std::uint64_t pick = aRandom % equals;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.cost.Total() <= limit && pick-- == 0) {
      return &candidate;
    }
  }
  return &*best;
}

// Returns the copies that the plan of a candidate reads.
std::vector<StoredCopy>
SourcesOf(const Candidate& aCandidate, const PlacementView& aView)
{
  std::vector<StoredCopy> sources;
  LinkTimes times(aView, aView.runners[aCandidate.runner].zone);
  for (std::size_t i = aCandidate.restoreFrom; i < aCandidate.restoreTo; ++i) {
    sources.push_back(times.Add(aView.stored[i]));
  }
  return sources;
}

} // namespace

std::string
Candidate::Explain(const PlacementView& aView) const
{
  char text[256];
  std::snprintf(text,
                sizeof text,
                " pieces %zu-%zu total %.3f s = queue %.3f + restore %.3f + "
                "prefill %.3f + zone %.3f + displacement %.3f + recompute %.3f",
                this->restoreFrom,
                this->restoreTo,
                this->cost.Total(),
                this->cost.queueWait,
                this->cost.restore,
                this->cost.prefill,
                this->cost.zoneDistance,
                this->cost.displacement,
                this->cost.recompute);
  return aView.runners[this->runner].id.Text() + text;
}

Placement
Place(const PlacementRequest& aRequest,
      const PlacementView& aView,
      const PlacementOptions& aOptions,
      std::uint64_t aRandom)
{
  Placement placement;
  const double medianWait = MedianWait(aView.runners);
  RestoreTimes times(aView);
  placement.candidates.reserve(aView.runners.size());
  for (ViewIndex i = 0; i < aView.runners.size(); ++i) {
    const RunnerCosts costs(aRequest, aView, aOptions, times, i, medianWait);
    placement.candidates.push_back(costs.Best());
  }
  if (!placement.candidates.empty()) {
    placement.chosen =
      *ChooseAmongEquals(placement.candidates, aOptions, aRandom);
    placement.sources = SourcesOf(*placement.chosen, aView);
  }
  return placement;
}

} // namespace wigeonwalk
