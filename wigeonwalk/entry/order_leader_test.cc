#include "wigeonwalk/entry/test_order_cluster.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against two daemons that give orders at the same time or in too quick
// succession, and against a cluster where no daemon does.
SCENARIO("one daemon at a time gives orders")
{
  OrderCluster cluster;
  CHECK(cluster.RunFor(3s) == 1);
  REQUIRE(cluster.terms.size() == 1);
  const std::size_t first = cluster.terms[0].holder;

  WHEN("nothing fails")
  {
    CHECK(cluster.RunFor(20s) == 1);
    CHECK(cluster.terms.size() == 1);
  }

  const Duration lease = MakeSettings("front-1").bounds.orderLease;
  WHEN("the holder is partitioned from the registry")
  {
    cluster.candidates[first]->service.AddLinkFault(
      { .fault = KeyValueFault::Down, .from = cluster.time.Now() });
    cluster.candidates[first]->state.registryUnreachable = true;
    cluster.partitioned.insert(first);
    CHECK(cluster.RunFor(12s) == 1);

    THEN("another daemon takes over after the deployment's least time")
    {
      REQUIRE(cluster.terms.size() == 2);
      CHECK(cluster.terms[1].holder != first);
      CHECK(cluster.terms[1].number > cluster.terms[0].number);
      CHECK(cluster.terms[1].from - cluster.terms[0].until >= lease);
      CHECK(cluster.terms[1].from - cluster.terms[0].until <= 2 * lease);
    }
  }

  WHEN("the holder's process pauses for 7 s and resumes")
  {
    const TimePoint now = cluster.time.Now();
    cluster.candidates[first]->pause = { now, now + 7s };
    cluster.RunFor(5s);

    THEN("it has lost its lease")
    {
      CHECK(cluster.RunFor(10s) <= 1);
      CHECK(cluster.terms.back().holder != first);
    }
  }

  WHEN("the registry is down for 5 s")
  {
    cluster.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = cluster.time.Now(),
                               .until = cluster.time.Now() + 5s });
    CHECK(cluster.RunFor(15s) == 1);

    THEN("orders are given again afterwards")
    {
      CHECK(cluster.terms.back().until + 1s > cluster.time.Now());
    }
  }
}

// Guards against a holder that gives orders too early, because the record of
// the holder before was overwritten by a write that took effect late.
SCENARIO("a late record of a holder does not replace a newer one")
{
  constexpr const char* kRecordKey = Candidate::Leader::kLastHolderKey;
  OrderCluster cluster;
  cluster.RunFor(3s);
  const std::size_t first = cluster.terms.back().holder;
  const auto pauseHolder = [&cluster](Duration aSpan) {
    const TimePoint now = cluster.time.Now();
    const std::size_t holder = cluster.terms.back().holder;
    cluster.candidates[holder]->pause = { now, now + aSpan };
    return now;
  };
  pauseHolder(9s);
  cluster.RunFor(10s);
  REQUIRE(cluster.terms.back().holder != first);

  const TimePoint now = pauseHolder(40s);
  FakeKeyValue& link = cluster.candidates[first]->service;
  link.AddLinkFault({ .fault = KeyValueFault::Slow,
                      .from = now,
                      .until = now + 2'800ms,
                      .delay = 2'500ms,
                      .keyPrefix = kRecordKey });
  link.AddLinkFault(
    { .fault = KeyValueFault::Down, .from = now + 2'800ms, .until = now + 9s });
  cluster.RunFor(9s);
  REQUIRE(cluster.terms.size() == 3);
  REQUIRE(cluster.terms.back().holder != first);
  pauseHolder(40s);
  cluster.RunFor(9s);
  CHECK(cluster.terms.back().holder == first);
  CHECK(cluster.LeastGap() >= EntryBounds{}.orderLease);
}

// Guards against two daemons that give orders in too quick succession, because
// the record of one in between took effect after the first one had returned.
SCENARIO("a holder that returns writes its record again")
{
  constexpr const char* kRecordKey = Candidate::Leader::kLastHolderKey;
  OrderCluster cluster;
  cluster.RunFor(3s);
  const std::size_t first = cluster.terms.back().holder;
  const auto before = cluster.service.Peek(kRecordKey);
  REQUIRE(before.has_value());

  const TimePoint now = cluster.time.Now();
  for (std::size_t i = 0; i < cluster.candidates.size(); ++i) {
    if (i != first) {
      cluster.candidates[i]->service.AddLinkFault(
        { .fault = KeyValueFault::Down, .from = now });
    }
  }
  cluster.candidates[first]->pause = { now, now + 9s };
  cluster.RunFor(15s);

  CHECK(cluster.terms.back().holder == first);
  CHECK(cluster.terms.back().until > now + 9s);
  const auto after = cluster.service.Peek(kRecordKey);
  CHECK(after->value == before->value);
  CHECK(after->modRevision > before->modRevision);
}
