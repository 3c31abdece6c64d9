#include "returning_prompts/policies.h"

#include <limits>

namespace wigeonwalk::replay {

namespace {

std::uint32_t
RunnerCount(const PolicyInput& aInput)
{
  return static_cast<std::uint32_t>(aInput.simulation.runners.size());
}

// Returns the first listed runner at or after a position, which wraps around.
std::uint32_t
FirstListed(const PolicyInput& aInput, std::uint64_t aFrom)
{
  const std::uint32_t count = RunnerCount(aInput);
  auto runner = static_cast<std::uint32_t>(aFrom % count);
  while (!aInput.simulation.listed[runner]) {
    runner = (runner + 1) % count;
  }
  return runner;
}

} // namespace

std::uint32_t
LeastLoaded(const PolicyInput& aInput)
{
  // Starts at a random runner to break ties; otherwise the lowest idle runner
  // would always be chosen.
  std::uint32_t best = FirstListed(aInput, aInput.daemon.random());
  const TimePoint now = aInput.simulation.time.Now();
  for (std::uint32_t i = 0; i < RunnerCount(aInput); ++i) {
    if (aInput.simulation.listed[i] &&
        aInput.daemon.loads[i].Waiting(now) <
          aInput.daemon.loads[best].Waiting(now)) {
      best = i;
    }
  }
  return best;
}

PlacementChoice
RandomRunner::Choose(const PolicyInput& aInput)
{
  return { .runner = FirstListed(aInput, aInput.daemon.random()) };
}

PlacementChoice
RoundRobin::Choose(const PolicyInput& aInput)
{
  return { .runner = FirstListed(aInput, this->next++) };
}

PlacementChoice
LeastLoadedRunner::Choose(const PolicyInput& aInput)
{
  return { .runner = LeastLoaded(aInput) };
}

PlacementChoice
PrefixAffinity::Choose(const PolicyInput& aInput)
{
  std::uint32_t best =
    FirstListed(aInput,
                aInput.chain.empty() ? aInput.daemon.random()
                                     : std::hash<PieceKey>()(aInput.chain[0]));
  std::size_t most = 0;
  for (std::uint32_t i = 0; i < RunnerCount(aInput); ++i) {
    const CachedPrefix prefix =
      aInput.daemon.tracker.LongestPrefix(aInput.simulation.RunnerName(i),
                                          aInput.chain,
                                          aInput.simulation.time.Now());
    if (aInput.simulation.listed[i] && prefix.pieces > most) {
      best = i;
      most = prefix.pieces;
    }
  }
  return { .runner = best };
}

PlacementChoice
AlwaysRecompute::Choose(const PolicyInput& aInput)
{
  return { .runner = LeastLoaded(aInput) };
}

PlacementChoice
AlwaysRestore::Choose(const PolicyInput& aInput)
{
  PlacementChoice choice{ .runner = LeastLoaded(aInput),
                          .restoreTo = aInput.stored.size() };
  for (const StoredPiece& piece : aInput.stored) {
    choice.sources.push_back(piece.copies[0]);
  }
  return choice;
}

PlacementChoice
Wigeonwalk::Choose(const PolicyInput& aInput)
{
  Simulation& simulation = aInput.simulation;
  Daemon& daemon = aInput.daemon;
  const TimePoint now = simulation.time.Now();
  std::vector<RunnerView> runners;
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < RunnerCount(aInput); ++i) {
    if (!simulation.listed[i]) {
      continue;
    }
    const UpstreamId name = simulation.RunnerName(i);
    const CachedPrefix prefix =
      daemon.tracker.LongestPrefix(name, aInput.chain, now);
    runners.push_back({ name,
                        simulation.RunnerZone(i),
                        daemon.loads[i].Waiting(now),
                        simulation.deployment.prefillTokensPerSecond,
                        prefix.pieces,
                        prefix.weight });
    indices.push_back(i);
  }
  const OrganisationId& organisation =
    simulation.Organisation(aInput.arrival.organisation);
  std::vector<LinkView> links;
  for (std::size_t i = 0; i < daemon.links.size(); ++i) {
    const LinkModel& model = daemon.links[i]->Model();
    const bool zoneLink = i >= 2 * simulation.deployment.zones;
    links.push_back({ model.ExpectedSeconds(
                        TransferKind::CallerRestore, organisation, 0, now),
                      model.Rate(now),
                      zoneLink ? simulation.deployment.zoneLatencySeconds : 0,
                      zoneLink ? simulation.deployment.zonePacketLoss : 0 });
  }
  const PlacementView view{ runners,
                            links,
                            simulation.zoneLinks,
                            simulation.deployment.zones,
                            aInput.stored };
  const PlacementRequest request{ aInput.arrival.tokens,
                                  daemon.zone,
                                  simulation.deployment.placementGoal };
  const Placement placement = Place(request, view, {}, daemon.random());
  const Candidate& chosen = *placement.chosen;
  return { indices[chosen.runner],
           chosen.restoreFrom,
           chosen.restoreTo,
           placement.sources };
}

PlacementChoice
Clairvoyant::Choose(const PolicyInput& aInput)
{
  std::uint32_t best = FirstListed(aInput, aInput.daemon.random());
  double shortest = std::numeric_limits<double>::max();
  for (std::uint32_t i = 0; i < RunnerCount(aInput); ++i) {
    const double waiting = aInput.simulation.runners[i]->WaitingSeconds();
    if (!aInput.simulation.runners[i]->Stopped() && waiting < shortest) {
      best = i;
      shortest = waiting;
    }
  }
  const std::size_t seen = aInput.arrival.seenTokens / kPieceTokens;
  return { .runner = best, .restoreTo = std::min(seen, aInput.chain.size()) };
}

} // namespace wigeonwalk::replay
