// Time of one placement among 18 runners (the present size) and 890 (the target
// size).
#include "wigeonwalk/placement/placement.h"

#include <benchmark/benchmark.h>

#include <random>
#include <vector>

using namespace wigeonwalk;

namespace {

constexpr ViewIndex kZones = 4;
constexpr std::size_t kPieces = 8;

struct Cluster
{
  std::vector<RunnerView> runners;
  std::vector<LinkView> links;
  std::vector<ViewIndex> zoneLinks;
  std::vector<StoredPiece> stored;
};

Cluster
MakeCluster(std::size_t aRunners)
{
  std::mt19937_64 random(1);
  Cluster cluster;
  for (std::size_t i = 0; i < aRunners; ++i) {
    RunnerView runner{ UpstreamId("runner-" + std::to_string(i)),
                       static_cast<ViewIndex>(i % kZones),
                       static_cast<double>(random() % 1000) / 1000,
                       8000 };
    if (i % 6 == 0) {
      runner.cachedPieces = random() % kPieces;
      runner.cachedWeight = 0.9;
    }
    cluster.runners.push_back(runner);
  }
  for (ViewIndex i = 0; i < 2 * kZones + kZones * kZones; ++i) {
    cluster.links.push_back({ 0.01 * i, 1e9, 0.002, 0.01 });
  }
  for (ViewIndex i = 0; i < kZones * kZones; ++i) {
    cluster.zoneLinks.push_back(2 * kZones + i);
  }
  for (std::size_t i = 0; i < kPieces; ++i) {
    StoredPiece& piece = cluster.stored.emplace_back();
    piece.Add({ 3, 1, 1, 128u << 20 });
    piece.Add({ 5, 2, 1, 128u << 20 });
  }
  return cluster;
}

void
PlaceRequest(benchmark::State& aState)
{
  const Cluster cluster =
    MakeCluster(static_cast<std::size_t>(aState.range(0)));
  const PlacementView view{
    cluster.runners, cluster.links, cluster.zoneLinks, kZones, cluster.stored
  };
  const PlacementRequest request{ .promptTokens = 9 * kPieceTokens };
  std::uint64_t random = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Place(request, view, {}, ++random));
  }
}
BENCHMARK(PlaceRequest)->Arg(18)->Arg(890);

} // namespace

BENCHMARK_MAIN();
