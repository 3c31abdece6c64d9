#include "wigeonwalk/entry/test_order_cluster.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr Duration kOrderLease = EntryBounds{}.orderLease;
constexpr const char* kLeaseKey = Candidate::Leader::kLeaseKey;

// Stops the process of the present holder and waits for the next one.
std::size_t
ReplaceHolder(OrderCluster& aCluster)
{
  const std::size_t holder = aCluster.terms.back().holder;
  aCluster.candidates[holder]->pause = { aCluster.time.Now(),
                                         aCluster.time.Now() + 8s };
  aCluster.RunFor(9s);
  REQUIRE(aCluster.terms.back().holder != holder);
  return aCluster.terms.back().holder;
}

// Requires that orders are given now, by one daemon, and that each earlier
// change of the holder took the deployment's least time.
void
RequireOrderly(OrderCluster& aCluster)
{
  CHECK(aCluster.RunFor(1s) == 1);
  CHECK(aCluster.terms.back().until + 100ms > aCluster.time.Now());
  CHECK(aCluster.LeastGap() >= kOrderLease);
  CHECK(aCluster.NumbersIncrease());
}

} // namespace

// Guards against a cluster without orders after a restore of the registry, and
// against two daemons that give orders in too quick succession around it.
SCENARIO("orders are given again after a restore of the registry")
{
  OrderCluster cluster;
  cluster.service.TakeCopy();
  cluster.RunFor(3s);
  REQUIRE(cluster.terms.size() == 1);
  const std::size_t first = cluster.terms[0].holder;
  const std::uint64_t number = cluster.terms[0].number;

  WHEN("the copy has neither the lease nor a record of the holder")
  {
    cluster.Restore();
    cluster.RunFor(3s);
    THEN("the holder goes on with a higher number")
    {
      CHECK(cluster.terms.back().holder == first);
      CHECK(cluster.terms.back().number > number);
      RequireOrderly(cluster);
      CHECK(cluster.service.Peek(Candidate::Leader::kLastHolderKey));
    }
  }

  WHEN("the copy has the holder's own lease")
  {
    cluster.service.TakeCopy();
    cluster.RunFor(4s);
    cluster.Restore();
    cluster.RunFor(3s);
    CHECK(cluster.terms.back().holder == first);
    CHECK(cluster.terms.back().number > number);
    RequireOrderly(cluster);
  }

  WHEN("the copy has the lease of an earlier holder")
  {
    cluster.service.TakeCopy();
    const std::size_t second = ReplaceHolder(cluster);
    cluster.Restore();
    cluster.RunFor(3s);
    THEN("the later holder goes on")
    {
      CHECK(cluster.terms.back().holder == second);
      RequireOrderly(cluster);
    }
  }

  WHEN("the holder ends at the restore")
  {
    ReplaceHolder(cluster);
    cluster.candidates[cluster.terms.back().holder]->pause = {
      cluster.time.Now(), TimePoint::max()
    };
    cluster.Restore();
    cluster.RunFor(8s);
    RequireOrderly(cluster);
  }

  WHEN("the holder does not reach the registry at the restore")
  {
    cluster.candidates[first]->service.AddLinkFault(
      { .fault = KeyValueFault::Down, .from = cluster.time.Now() });
    cluster.partitioned.insert(first);
    cluster.Restore();
    cluster.RunFor(9s);
    CHECK(cluster.terms.back().holder != first);
    RequireOrderly(cluster);
  }
}

// Guards against a restore that follows another one, or an outage.
SCENARIO("orders are given again after restores in any order")
{
  OrderCluster cluster;
  cluster.RunFor(1s);
  cluster.service.TakeCopy();
  ReplaceHolder(cluster);
  const Duration between = GENERATE(20ms, 300ms, 900ms, 2'500ms, 5s);
  CAPTURE(between.count());

  WHEN("the registry is restored three times")
  {
    for (int i = 0; i < 3; ++i) {
      cluster.Restore();
      cluster.RunFor(between);
    }
    cluster.RunFor(4s);
    RequireOrderly(cluster);
  }

  WHEN("all daemons are restarted after it")
  {
    cluster.Restore();
    cluster.RunFor(between);
    cluster.RestartAll();
    cluster.RunFor(7s);
    RequireOrderly(cluster);
  }

  WHEN("it was down before")
  {
    cluster.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = cluster.time.Now(),
                               .until = cluster.time.Now() + between });
    cluster.RunFor(between);
    cluster.Restore();
    cluster.RunFor(9s);
    RequireOrderly(cluster);
  }
}

// Guards against a lease key that no daemon removes: it was written late, under
// a lease number that belongs to a member now.
SCENARIO("a lease key of an earlier incarnation does not block orders")
{
  OrderCluster cluster;
  cluster.RunFor(1s);
  cluster.service.TakeCopy();
  cluster.RunFor(4s);
  cluster.Restore();
  const char* host = GENERATE("front-1", "front-9");
  cluster.service.Store(kLeaseKey, std::string(host) + " 5");
  cluster.RunFor(8s);
  RequireOrderly(cluster);
}
