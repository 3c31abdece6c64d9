#include "returning_prompts/policies.h"

#include <limits>

namespace wigeonwalk::replay {

namespace {

std::uint32_t
RunnerCount(const Sight& aSight)
{
  return static_cast<std::uint32_t>(aSight.world.runners.size());
}

// Returns the first listed runner at or after a position, which wraps around.
std::uint32_t
FirstListed(const Sight& aSight, std::uint64_t aFrom)
{
  const std::uint32_t count = RunnerCount(aSight);
  auto runner = static_cast<std::uint32_t>(aFrom % count);
  while (!aSight.world.listed[runner]) {
    runner = (runner + 1) % count;
  }
  return runner;
}

} // namespace

std::uint32_t
LeastLoaded(const Sight& aSight)
{
  // Starts at a random runner to break ties; otherwise the lowest idle runner
  // would always be chosen.
  std::uint32_t best = FirstListed(aSight, aSight.daemon.random());
  const TimePoint now = aSight.world.time.Now();
  for (std::uint32_t i = 0; i < RunnerCount(aSight); ++i) {
    if (aSight.world.listed[i] && aSight.daemon.loads[i].Waiting(now) <
                                    aSight.daemon.loads[best].Waiting(now)) {
      best = i;
    }
  }
  return best;
}

Choice
RandomRunner::Choose(const Sight& aSight)
{
  return { .runner = FirstListed(aSight, aSight.daemon.random()) };
}

Choice
RoundRobin::Choose(const Sight& aSight)
{
  return { .runner = FirstListed(aSight, this->next++) };
}

Choice
LeastLoadedRunner::Choose(const Sight& aSight)
{
  return { .runner = LeastLoaded(aSight) };
}

Choice
PrefixAffinity::Choose(const Sight& aSight)
{
  std::uint32_t best =
    FirstListed(aSight,
                aSight.chain.empty() ? aSight.daemon.random()
                                     : std::hash<PieceKey>()(aSight.chain[0]));
  std::size_t most = 0;
  for (std::uint32_t i = 0; i < RunnerCount(aSight); ++i) {
    const CachedPrefix prefix = aSight.daemon.tracker.LongestPrefix(
      aSight.world.RunnerName(i), aSight.chain, aSight.world.time.Now());
    if (aSight.world.listed[i] && prefix.pieces > most) {
      best = i;
      most = prefix.pieces;
    }
  }
  return { .runner = best };
}

Choice
AlwaysRecompute::Choose(const Sight& aSight)
{
  return { .runner = LeastLoaded(aSight) };
}

Choice
AlwaysRestore::Choose(const Sight& aSight)
{
  Choice choice{ .runner = LeastLoaded(aSight),
                 .restoreTo = aSight.stored.size() };
  for (const StoredPiece& piece : aSight.stored) {
    choice.sources.push_back(piece.copies[0]);
  }
  return choice;
}

Choice
Wigeonwalk::Choose(const Sight& aSight)
{
  World& world = aSight.world;
  Daemon& daemon = aSight.daemon;
  const TimePoint now = world.time.Now();
  std::vector<RunnerView> runners;
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < RunnerCount(aSight); ++i) {
    if (!world.listed[i]) {
      continue;
    }
    const UpstreamId name = world.RunnerName(i);
    const CachedPrefix prefix =
      daemon.tracker.LongestPrefix(name, aSight.chain, now);
    runners.push_back({ name,
                        world.RunnerZone(i),
                        daemon.loads[i].Waiting(now),
                        world.deployment.prefillTokensPerSecond,
                        prefix.pieces,
                        prefix.weight });
    indices.push_back(i);
  }
  const OrganisationId& organisation =
    world.Organisation(aSight.arrival.organisation);
  std::vector<LinkView> links;
  for (std::size_t i = 0; i < daemon.links.size(); ++i) {
    const LinkModel& model = daemon.links[i]->Model();
    const bool zoneLink = i >= 2 * world.deployment.zones;
    links.push_back({ model.ExpectedSeconds(
                        TransferKind::CallerRestore, organisation, 0, now),
                      model.Rate(now),
                      zoneLink ? world.deployment.zoneLatencySeconds : 0,
                      zoneLink ? world.deployment.zoneLoss : 0 });
  }
  const PlacementView view{
    runners, links, world.zoneLinks, world.deployment.zones, aSight.stored
  };
  const PlacementRequest request{ aSight.arrival.tokens,
                                  daemon.zone,
                                  world.deployment.placementGoal };
  const Placement placement = Place(request, view, {}, daemon.random());
  const Candidate& chosen = *placement.chosen;
  return { indices[chosen.runner],
           chosen.restoreFrom,
           chosen.restoreTo,
           placement.sources };
}

Choice
Clairvoyant::Choose(const Sight& aSight)
{
  std::uint32_t best = FirstListed(aSight, aSight.daemon.random());
  double shortest = std::numeric_limits<double>::max();
  for (std::uint32_t i = 0; i < RunnerCount(aSight); ++i) {
    const double waiting = aSight.world.runners[i]->WaitingSeconds();
    if (!aSight.world.runners[i]->Stopped() && waiting < shortest) {
      best = i;
      shortest = waiting;
    }
  }
  const std::size_t seen = aSight.arrival.seenTokens / kPieceTokens;
  return { .runner = best, .restoreTo = std::min(seen, aSight.chain.size()) };
}

} // namespace wigeonwalk::replay
