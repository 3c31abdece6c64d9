#include "wigeonwalk/serving/placer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace wigeonwalk {

namespace {

// Assumed one-way delay between availability zones, in seconds (a few
// milliseconds).
constexpr double kZoneLatencySeconds = 0.003;

// Assumed rate of the link between two availability zones, in bytes per second.
constexpr double kZoneBytesPerSecond = 1.25e9;

// Maximum number of candidates that an explanation lists.
constexpr std::size_t kMaxExplainedCandidates = 32;

const StoreSpec*
FindStore(const ServiceDocument& aDocument, const UpstreamId& aStore)
{
  for (const StoreSpec& store : aDocument.stores) {
    if (store.id == aStore) {
      return &store;
    }
  }
  return nullptr;
}

using LinkedCopies = std::vector<std::pair<ViewIndex, SealedPiece>>;

} // namespace

// Owns the data of a PlacementView, and maps its indices to specifications.
struct Placer::View
{
  std::vector<AvailabilityZone> zones;
  std::vector<RunnerView> runners;
  std::vector<const RunnerSpec*> specs;
  std::vector<LinkView> links;
  std::vector<ViewIndex> zoneLinks;
  std::vector<StoredPiece> stored;
  // The sealed copies of each stored piece, with the link to each.
  std::vector<LinkedCopies> sealed;
};

Placer::Placer(UpstreamTable& aUpstreams,
               CacheState& aCache,
               AvailabilityZone aZone)
  : upstreams(aUpstreams)
  , cache(aCache)
  , zone(std::move(aZone))
{
}

ViewIndex
Placer::ZoneIndex(const AvailabilityZone& aZone, View& aView) const
{
  const auto found = std::find(aView.zones.begin(), aView.zones.end(), aZone);
  if (found != aView.zones.end()) {
    return static_cast<ViewIndex>(found - aView.zones.begin());
  }
  aView.zones.push_back(aZone);
  return static_cast<ViewIndex>(aView.zones.size() - 1);
}

void
Placer::AddRunners(const PlacementInput& aInput, TimePoint aNow, View& aView)
{
  for (const RunnerSpec& runner : aInput.document.runners) {
    const WeightVersion version = this->upstreams.Version(runner.id);
    const bool wrongVersion = !version.Empty() && version != aInput.version;
    const bool excludedByOnly = aInput.only && *aInput.only != runner.id;
    if (wrongVersion || excludedByOnly || aInput.excluded.contains(runner.id) ||
        !this->upstreams.Usable(runner.id, aNow)) {
      continue;
    }
    const CachedPrefix prefix =
      this->cache.Tracker().LongestPrefix(runner.id, aInput.chain, aNow);
    RunnerView view;
    view.id = runner.id;
    view.zone = this->ZoneIndex(runner.zone, aView);
    view.waitSeconds = this->upstreams.WaitSeconds(runner.id, aNow);
    view.prefillTokensPerSecond = aInput.document.model.prefillTokensPerSecond;
    view.cachedPieces = prefix.pieces;
    view.cachedWeight = prefix.weight;
    aView.runners.push_back(std::move(view));
    aView.specs.push_back(&runner);
  }
}

void
Placer::AddStores(const PlacementInput& aInput, TimePoint aNow, View& aView)
{
  std::map<std::pair<UpstreamId, StoreTier>, ViewIndex> linkIndex;
  const auto linkOf = [&](const StoreSpec& aStore, StoreTier aTier) {
    const auto [place, added] =
      linkIndex.try_emplace({ aStore.id, aTier }, aView.links.size());
    if (added) {
      const LinkModel& link = this->cache.LinkOf(aStore, aTier).Model();
      LinkView view;
      view.bytesPerSecond = link.Rate(aNow);
      view.waitSeconds = link.ExpectedSeconds(
        TransferKind::CallerRestore, OrganisationId(), 0, aNow);
      aView.links.push_back(view);
    }
    return place->second;
  };
  for (const std::vector<PieceCopy>& copies : aInput.copies) {
    StoredPiece piece;
    LinkedCopies linked;
    for (const PieceCopy& copy : copies) {
      const StoreSpec* store = FindStore(aInput.document, copy.piece.store);
      if (store == nullptr) {
        continue;
      }
      const ViewIndex link = linkOf(*store, copy.piece.tier);
      piece.Add({ link,
                  this->ZoneIndex(store->zone, aView),
                  copy.weight,
                  copy.piece.bytes });
      linked.emplace_back(link, copy.piece);
    }
    if (linked.empty()) {
      break;
    }
    aView.stored.push_back(piece);
    aView.sealed.push_back(std::move(linked));
  }
}

std::optional<PlacedRequest>
Placer::Place(const PlacementInput& aInput,
              TimePoint aNow,
              FailureReason& aReason)
{
  View view;
  PlacementRequest request;
  request.zone = this->ZoneIndex(this->zone, view);
  request.promptTokens = aInput.promptTokens;
  request.placementGoal = aInput.document.placementGoal;
  this->AddRunners(aInput, aNow, view);
  this->AddStores(aInput, aNow, view);
  if (view.runners.empty()) {
    return Fail(aReason, ReasonCode::Unavailable, "no usable runner");
  }
  const auto zones = static_cast<ViewIndex>(view.zones.size());
  const auto zoneLink = static_cast<ViewIndex>(view.links.size());
  view.links.push_back({ 0, kZoneBytesPerSecond, kZoneLatencySeconds, 0 });
  for (ViewIndex from = 0; from < zones; ++from) {
    for (ViewIndex to = 0; to < zones; ++to) {
      view.zoneLinks.push_back(from == to ? kNoLink : zoneLink);
    }
  }
  const PlacementView placementView{
    view.runners, view.links, view.zoneLinks, zones, view.stored
  };
  const Placement placement = wigeonwalk::Place(
    request, placementView, PlacementOptions(), aInput.random);
  if (!placement.chosen) {
    return Fail(aReason, ReasonCode::Unavailable, "no candidate");
  }
  const Candidate& best = *placement.chosen;
  PlacedRequest placed;
  placed.runner = *view.specs[best.runner];
  placed.cost = best.cost;
  for (std::size_t i = best.restoreFrom; i < best.restoreTo; ++i) {
    const ViewIndex link = placement.sources[i - best.restoreFrom].link;
    for (const auto& [copyLink, sealed] : view.sealed[i]) {
      if (copyLink == link) {
        placed.restore.push_back(sealed);
        break;
      }
    }
  }
  const std::uint64_t savedTokens = std::min<std::uint64_t>(
    std::max(best.restoreTo, best.restoreFrom) * std::uint64_t{ kPieceTokens },
    aInput.promptTokens);
  placed.computedTokens = aInput.promptTokens - savedTokens;
  placed.explanation.push_back("chosen " + best.Explain(placementView));
  for (const Candidate& candidate : placement.candidates) {
    if (placed.explanation.size() > kMaxExplainedCandidates) {
      break;
    }
    placed.explanation.push_back(candidate.Explain(placementView));
  }
  return placed;
}

WeightVersion
Placer::ChooseVersion(const ServiceDocument& aDocument,
                      std::uint64_t aRandom,
                      TimePoint aNow) const
{
  std::vector<WeightVersion> served;
  for (const RunnerSpec& runner : aDocument.runners) {
    if (this->upstreams.Usable(runner.id, aNow)) {
      const WeightVersion version = this->upstreams.Version(runner.id);
      served.push_back(version.Empty() ? aDocument.model.version : version);
    }
  }
  return served.empty() ? aDocument.model.version
                        : served[aRandom % served.size()];
}

} // namespace wigeonwalk
