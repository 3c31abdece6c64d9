#include "wigeonwalk/placement/placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace wigeonwalk;

namespace {

constexpr std::uint64_t kPieceSize = 100;

// Two zones with two runners each; link 0 is a memory tier, link 1 a disk tier,
// both in zone 0; link 2 joins the zones. One piece takes 1 s of prefill, 0.1 s
// from memory and 0.5 s from disk.
struct Cluster
{
  std::vector<RunnerView> runners;
  std::vector<LinkView> links{ { 0, 1000, 0, 0 },
                               { 0, 200, 0, 0 },
                               { 0, 1000, 0.004, 0 } };
  std::vector<ViewIndex> zoneLinks{ kNoLink, 2, 2, kNoLink };
  std::vector<StoredPiece> stored;
  PlacementRequest request{ .promptTokens = 8 * kPieceTokens };

  Cluster()
  {
    for (ViewIndex i = 0; i < 4; ++i) {
      runners.push_back(
        { UpstreamId("r" + std::to_string(i)), i / 2, 0, kPieceTokens });
    }
  }
  // Adds a copy of each of the first pieces.
  void Store(std::size_t aPieces, const StoredCopy& aCopy)
  {
    stored.resize(std::max(stored.size(), aPieces));
    for (std::size_t i = 0; i < aPieces; ++i) {
      stored[i].Add(aCopy);
    }
  }
  PlacementView View() const
  {
    return { runners, links, zoneLinks, 2, stored };
  }
  Candidate Best(std::uint64_t aRandom = 0) const
  {
    return *Place(request, View(), {}, aRandom).chosen;
  }
};

} // namespace

SCENARIO("a placement weighs queues, caches and links", "[placement]")
{
  Cluster cluster;
  GIVEN("nothing cached or stored")
  {
    THEN("runners in the other zone cost the delay between the zones")
    {
      const Placement placement =
        Place(cluster.request, cluster.View(), PlacementOptions{}, 0);
      CHECK(placement.candidates[0].cost.Total() == Approx(8));
      CHECK(placement.candidates[2].cost.zoneDistance == Approx(0.008));
    }
    // Guards against many daemons choosing the same runner at once.
    THEN("requests spread over equal runners")
    {
      std::map<ViewIndex, int> chosen;
      for (std::uint64_t random = 0; random < 40; ++random) {
        ++chosen[cluster.Best(random).runner];
      }
      CHECK(chosen.size() == 4);
      CHECK(chosen[0] == 10);
    }
  }
  GIVEN("a runner that holds six pieces")
  {
    cluster.runners[1].cachedPieces = 6;
    cluster.runners[1].cachedWeight = 1;
    CHECK(cluster.Best().runner == 1);
    CHECK(cluster.Best().cost.prefill == Approx(2));
    WHEN("its queue is longer than the recomputation")
    {
      cluster.runners[1].waitSeconds = 7;
      CHECK(cluster.Best().runner != 1);
    }
    // Guards against relying fully on a cached prefix whose events have a gap.
    WHEN("its cache is uncertain")
    {
      cluster.runners[1].cachedWeight = 0.5;
      CHECK(cluster.Best().cost.prefill == Approx(5));
    }
  }
  GIVEN("a prompt whose pieces are all in memory")
  {
    cluster.Store(8, { 0, 0, 1, kPieceSize });
    THEN("it is restored completely")
    {
      CHECK(cluster.Best().restoreTo == 8);
      CHECK(cluster.Best().cost.restore == Approx(0.8));
    }
    WHEN("the link is slow")
    {
      cluster.links[0].bytesPerSecond = 10;
      THEN("it is recomputed")
      {
        CHECK(cluster.Best().restoreTo == 0);
      }
    }
    // Guards against plans that restore either all pieces or none.
    WHEN("the first five are in memory and the rest on a disk that is slow")
    {
      cluster.links[1].bytesPerSecond = 40;
      for (std::size_t i = 5; i < 8; ++i) {
        cluster.stored[i].copies[0].link = 1;
      }
      THEN("the fast part is restored and the rest computed")
      {
        CHECK(cluster.Best().restoreTo == 5);
        CHECK(cluster.Best().cost.prefill == Approx(3));
      }
    }
    WHEN("the runner has a queue")
    {
      for (RunnerView& runner : cluster.runners) {
        runner.waitSeconds = 0.5;
      }
      THEN("the restore overlaps with it")
      {
        CHECK(cluster.Best().cost.restore == Approx(0.3));
        CHECK(cluster.Best().cost.displacement > 0);
      }
    }
    WHEN("the copies are uncertain")
    {
      for (StoredPiece& piece : cluster.stored) {
        piece.copies[0].weight = 0.5;
      }
      CHECK(cluster.Best().cost.prefill == Approx(4).margin(0.01));
    }
  }
  // Guards against a restore that waits for one store host while another holds
  // the same pieces.
  GIVEN("a prompt with copies on two links")
  {
    cluster.Store(6, { 0, 0, 1, kPieceSize });
    cluster.Store(6, { 1, 0, 1, kPieceSize });
    const Placement placement = Place(cluster.request, cluster.View(), {}, 0);
    THEN("both are read in parallel, in proportion to their rates")
    {
      REQUIRE(placement.sources.size() == 6);
      const auto fast =
        std::count_if(placement.sources.begin(),
                      placement.sources.end(),
                      [](auto& aCopy) { return aCopy.link == 0; });
      CHECK(fast == 5);
      CHECK(placement.chosen->cost.restore == Approx(0.5));
    }
  }
  GIVEN("a disk that is slower than computing")
  {
    cluster.Store(8, { 1, 0, 1, kPieceSize });
    cluster.links[1].bytesPerSecond = 80;
    CHECK(cluster.Best().restoreTo == 0);
    // Guards against a placementGoal in the service document that has no
    // effect.
    WHEN("the service weighs the share recomputed")
    {
      cluster.request.placementGoal = PlacementGoal::ShareRecomputed;
      CHECK(cluster.Best().restoreTo == 8);
    }
  }
  GIVEN("no runner")
  {
    cluster.runners.clear();
    CHECK_FALSE(Place(cluster.request, cluster.View(), {}, 0).chosen);
  }
}

// Guards against a restored prompt waiting behind the prefill of whole prompts.
TEST_CASE("a short prefill goes first on the engine", "[placement]")
{
  CHECK(EngineRequestClass(RequestClass::Standard, 1500) ==
        RequestClass::Interactive);
  CHECK(EngineRequestClass(RequestClass::Standard, 20'000) ==
        RequestClass::Standard);
  CHECK(EngineRequestClass(RequestClass::Background, 90'000) ==
        RequestClass::Background);
}

// Guards against costs that an operator cannot trace to their components.
TEST_CASE("a candidate explains its cost", "[placement]")
{
  Cluster cluster;
  cluster.runners[0].waitSeconds = 0.25;
  const Placement placement = Place(cluster.request, cluster.View(), {}, 0);
  CHECK(placement.candidates[0].Explain(cluster.View()) ==
        "r0 pieces 0-0 total 8.250 s = queue 0.250 + restore 0.000 + "
        "prefill 8.000 + zone 0.000 + displacement 0.000 + recompute 0.000");
}
