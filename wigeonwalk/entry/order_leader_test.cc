#include "wigeonwalk/entry/order_leader.h"
#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/null_log.h"
#include "wigeonwalk/testing/process_pause.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// A daemon that competes for the lease on orders.
struct Candidate
{
  Candidate(VirtualTime& aTime, FakeKeyValue& aService, std::string aHost)
    : timer(aTime, pause)
    , service(aService.Connect())
    , state(MakeSettings(aHost))
    , leader(state, mirror, service, timer, log)
  {
    this->service.SetPause(&this->pause);
    this->state.Apply(MakeConfiguration(), aTime.Now());
    this->state.registryUnreachable = false;
    for (const char* host : { "front-1", "front-2", "front-3" }) {
      this->state.Apply(
        EntryMember{ HostId(host), AvailabilityZone("north"), "" },
        aTime.Now());
    }
  }

  // Updates the mirror from the registry, as a watch would.
  void SyncMirror(const FakeKeyValue& aService)
  {
    for (const WatchEvent& change : aService.Changes("wigeonwalk/")) {
      this->mirror.Apply(change);
    }
  }

  ProcessPause pause;
  PausableTimer timer;
  FakeKeyValue service;
  ItemMirror mirror;
  NullLog log;
  EntryState state;
  OrderLeader<FakeKeyValue, PausableTimer, NullLog> leader;
};

// A cluster of three candidates, sampled every 20 ms.
struct Cluster
{
  Cluster()
    : service(time)
  {
    for (const char* host : { "front-1", "front-2", "front-3" }) {
      this->candidates.push_back(
        std::make_unique<Candidate>(this->time, this->service, host));
      this->time.Spawn(this->candidates.back()->leader.Run());
    }
  }

  // Runs for `aSpan` and records the terms of the holders. Returns the largest
  // number of simultaneous holders.
  int RunFor(Duration aSpan)
  {
    const TimePoint end = this->time.Now() + aSpan;
    int most = 0;
    while (this->time.Now() < end) {
      this->time.RunUntil(this->time.Now() + 20ms);
      int holders = 0;
      for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        Candidate& candidate = *this->candidates[i];
        if (!this->partitioned.contains(i)) {
          candidate.SyncMirror(this->service);
        }
        if (const auto number = candidate.leader.FencingNumber()) {
          ++holders;
          this->RecordTerm(i, *number);
        }
      }
      most = std::max(most, holders);
    }
    return most;
  }

  void RecordTerm(std::size_t aCandidate, std::uint64_t aNumber)
  {
    if (this->terms.empty() || this->terms.back().holder != aCandidate ||
        this->terms.back().number != aNumber) {
      this->terms.push_back({ aCandidate, aNumber, this->time.Now(), {} });
    }
    this->terms.back().until = this->time.Now();
  }

  struct Term
  {
    std::size_t holder = 0;
    std::uint64_t number = 0;
    TimePoint from;
    TimePoint until;
  };

  VirtualTime time;
  FakeKeyValue service;
  std::vector<std::unique_ptr<Candidate>> candidates;
  std::set<std::size_t> partitioned;
  std::vector<Term> terms;
};

} // namespace

// Guards against two daemons that give orders at the same time or in too quick
// succession, and against a cluster where no daemon does.
SCENARIO("one daemon at a time gives orders")
{
  Cluster cluster;
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
