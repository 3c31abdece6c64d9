// Daemons that compete for the lease on orders, for tests.
//
//   OrderCluster cluster;
//   CHECK(cluster.RunFor(3s) == 1);
#pragma once

#include "wigeonwalk/entry/order_leader.h"
#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/null_log.h"
#include "wigeonwalk/testing/process_pause.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// A daemon that competes for the lease on orders.
struct Candidate
{
  using Leader = OrderLeader<FakeKeyValue, PausableTimer, NullLog>;
  // Written after each restore, as the operator does.
  static constexpr const char* kRestoredKey = "wigeonwalk/test/restored";

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
    const auto restored = aService.Peek(kRestoredKey);
    if (restored && IncarnationOf(restored->modRevision) >
                      IncarnationOf(this->mirror.Revision())) {
      this->mirror.Replace(Listing(aService), restored->modRevision);
    }
    for (const WatchEvent& change : aService.Changes("wigeonwalk/")) {
      this->mirror.Apply(change);
      this->mirror.NoteRevision(change.entry.modRevision);
    }
  }

  bool IsPaused(TimePoint aNow) const
  {
    return this->pause.from <= aNow && aNow < this->pause.until;
  }

  static std::vector<KeyValueEntry> Listing(const FakeKeyValue& aService)
  {
    std::vector<KeyValueEntry> listing;
    for (const char* key : { Leader::kLeaseKey, Leader::kLastHolderKey }) {
      if (auto entry = aService.Peek(key)) {
        listing.push_back(std::move(*entry));
      }
    }
    return listing;
  }

  ProcessPause pause;
  PausableTimer timer;
  FakeKeyValue service;
  ItemMirror mirror;
  NullLog log;
  EntryState state;
  Leader leader;
};

// A cluster of three candidates, sampled every 20 ms.
struct OrderCluster
{
  OrderCluster()
    : service(time)
  {
    this->StartAll();
  }

  // Replaces the registry's data by its last copy.
  void Restore()
  {
    this->service.RestoreCopy();
    this->service.Store(Candidate::kRestoredKey, "");
  }

  // Runs for `aSpan` and records the terms of the holders. Returns the largest
  // number of simultaneous holders.
  int RunFor(Duration aSpan)
  {
    const TimePoint end = this->time.Now() + aSpan;
    int most = 0;
    while (this->time.Now() < end) {
      this->time.RunUntil(this->time.Now() + std::chrono::milliseconds(20));
      int holders = 0;
      for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        Candidate& candidate = *this->candidates[i];
        if (!this->partitioned.contains(i)) {
          candidate.SyncMirror(this->service);
        }
        const auto number = candidate.leader.FencingNumber();
        if (number && !candidate.IsPaused(this->time.Now())) {
          ++holders;
          this->RecordTerm(i, *number);
        }
      }
      most = std::max(most, holders);
    }
    return most;
  }

  // Replaces the processes of all daemons by new ones.
  void RestartAll()
  {
    for (auto& candidate : this->candidates) {
      candidate->pause = { this->time.Now(), TimePoint::max() };
      this->stopped.push_back(std::move(candidate));
    }
    this->candidates.clear();
    this->StartAll();
  }

  void StartAll()
  {
    for (const char* host : { "front-1", "front-2", "front-3" }) {
      this->candidates.push_back(
        std::make_unique<Candidate>(this->time, this->service, host));
      this->candidates.back()->SyncMirror(this->service);
      this->time.Spawn(this->candidates.back()->leader.Run());
    }
  }

  // Returns the least time between the terms of two different holders.
  Duration LeastGap() const
  {
    Duration least = Duration::max();
    for (std::size_t i = 1; i < this->terms.size(); ++i) {
      if (this->terms[i].holder != this->terms[i - 1].holder) {
        least = std::min(least, this->terms[i].from - this->terms[i - 1].until);
      }
    }
    return least;
  }

  // Returns true if the fencing number increases from term to term.
  bool NumbersIncrease() const
  {
    return std::is_sorted(this->terms.begin(),
                          this->terms.end(),
                          [](const Term& aLeft, const Term& aRight) {
                            return aLeft.number <= aRight.number;
                          });
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
  std::vector<std::unique_ptr<Candidate>> stopped;
  std::set<std::size_t> partitioned;
  std::vector<Term> terms;
};

} // namespace wigeonwalk
