#include "wigeonwalk/retry/poison_tracker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const OrganisationId kOrganisation("schleier-isar");
const UpstreamId kRunner("runner-1");

Fingerprint
MakeFingerprint(const std::string& aContent)
{
  return FingerprintOf(kOrganisation, aContent);
}

// Runs a request on the given incarnation of a runner, which then crashes.
void
RunAndCrash(PoisonTracker& aTracker,
            const Fingerprint& aFingerprint,
            std::uint64_t aIncarnation,
            TimePoint aNow)
{
  const RunKind kind =
    aTracker.Admit(aFingerprint, aNow) == PoisonAdmission::RunAlone
      ? RunKind::Alone
      : RunKind::Shared;
  aTracker.Started(kRunner, aFingerprint, kind);
  aTracker.RecordUpstreamCrash(kRunner, aIncarnation, aNow);
}

} // namespace

// Guards against one request that crashes runner after runner because it is
// retried, and against refusing requests that only ran on the same runners.
SCENARIO("a poison request is found and the others are cleared", "[poison]")
{
  PoisonTracker tracker;
  TimePoint now(24h);
  const Fingerprint poison = MakeFingerprint("poison");
  const Fingerprint innocent = MakeFingerprint("innocent");

  GIVEN("a runner that crashed with both requests on it")
  {
    tracker.Started(kRunner, poison, RunKind::Shared);
    tracker.Started(kRunner, innocent, RunKind::Shared);
    CHECK(tracker.RecordUpstreamCrash(kRunner, 1, now).empty());

    THEN("both may still run with other requests")
    {
      CHECK(tracker.Admit(poison, now) == PoisonAdmission::Run);
      CHECK(tracker.Admit(innocent, now) == PoisonAdmission::Run);
      CHECK(tracker.ReservedUpstreams({ kRunner }, now).empty());
    }
    THEN("after a second crash both run alone, but not the same content of "
         "another organisation")
    {
      tracker.Started(kRunner, poison, RunKind::Shared);
      tracker.Started(kRunner, innocent, RunKind::Shared);
      tracker.RecordUpstreamCrash(kRunner, 2, now);
      CHECK(tracker.Admit(poison, now) == PoisonAdmission::RunAlone);
      CHECK(tracker.Admit(innocent, now) == PoisonAdmission::RunAlone);
      CHECK(tracker.Admit(FingerprintOf(OrganisationId("x"), "poison"), now) ==
            PoisonAdmission::Run);
    }
    WHEN("the innocent request succeeds")
    {
      tracker.Started(kRunner, innocent, RunKind::Shared);
      tracker.Succeeded(kRunner, innocent, now + 1s);
      THEN("the earlier crash no longer counts against it")
      {
        RunAndCrash(tracker, innocent, 5, now + 2s);
        CHECK(tracker.Admit(innocent, now + 2s) == PoisonAdmission::Run);
      }
    }
    WHEN("the poison request crashes two more runners, the last while alone")
    {
      RunAndCrash(tracker, poison, 2, now + 1min);
      CHECK(tracker.Admit(poison, now + 1min) == PoisonAdmission::RunAlone);
      RunAndCrash(tracker, poison, 3, now + 2min);
      THEN("it is refused by the daemon that saw the crashes")
      {
        CHECK(tracker.Admit(poison, now + 2min) == PoisonAdmission::Refuse);
        CHECK(tracker.Admit(innocent, now + 2min) == PoisonAdmission::Run);
      }
      THEN("it is refused by a daemon that got the notices in another order")
      {
        PoisonTracker other;
        auto notices = tracker.TakeUrgent(16);
        std::reverse(notices.begin(), notices.end());
        for (const PoisonNotice& notice : notices) {
          CHECK(other.MergeNotice(notice, now));
          CHECK_FALSE(other.MergeNotice(notice, now));
        }
        CHECK(other.Admit(poison, now) == PoisonAdmission::Refuse);
      }
      THEN("a daemon that missed every push learns of it from a later probe")
      {
        while (!tracker.TakeUrgent(16).empty()) {
        }
        for (int i = 0; i < 100; ++i) {
          tracker.TakeNotices(16);
        }
        PoisonTracker other;
        for (const PoisonNotice& notice : tracker.TakeNotices(16)) {
          other.MergeNotice(notice, now);
        }
        CHECK(other.Admit(poison, now) == PoisonAdmission::Refuse);
      }
      THEN("its record expires after a day")
      {
        CHECK(tracker.Admit(poison, now + 25h) == PoisonAdmission::Run);
      }
    }
  }
  GIVEN("a request that ran together with others in three crashes")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      tracker.Started(kRunner, innocent, RunKind::Shared);
      tracker.RecordUpstreamCrash(kRunner, i, now + i * 1min);
    }
    THEN("it is not refused without a crash while it ran alone")
    {
      CHECK(tracker.Admit(innocent, now + 3min) == PoisonAdmission::RunAlone);
    }
    THEN("a late notice of a crash before its success is ignored")
    {
      tracker.Started(kRunner, innocent, RunKind::Alone);
      tracker.Succeeded(kRunner, innocent, now + 4min);
      CHECK_FALSE(tracker.MergeNotice(
        { innocent, 99, now + 3min, PoisonEvidence::CrashedAlone },
        now + 5min));
      CHECK(tracker.Admit(innocent, now + 5min) == PoisonAdmission::Run);
    }
  }
  GIVEN("two daemons that saw the same crash")
  {
    PoisonTracker other;
    RunAndCrash(tracker, poison, 1, now);
    RunAndCrash(other, poison, 1, now);
    THEN("it counts once")
    {
      CHECK_FALSE(tracker.MergeNotice(other.TakeNotices(1).at(0), now));
    }
  }
  GIVEN("a rack failure: many runners crash within a second")
  {
    for (int i = 0; i < 20; ++i) {
      const UpstreamId runner("rack-" + std::to_string(i));
      tracker.Started(
        runner, MakeFingerprint(std::to_string(i)), RunKind::Shared);
      tracker.RecordUpstreamCrash(runner, 1, now + i * 50ms);
    }
    THEN("only the first few requests are suspected")
    {
      CHECK(tracker.Records() == PoisonTracker::kMassFailureCrashes - 1);
    }
  }
  GIVEN("a suspect that needs a runner to itself")
  {
    const std::vector<UpstreamId> live = { UpstreamId("a"),
                                           UpstreamId("b"),
                                           UpstreamId("c") };
    const std::vector<UpstreamId> reversed(live.rbegin(), live.rend());
    RunAndCrash(tracker, poison, 1, now);
    RunAndCrash(tracker, poison, 2, now);
    THEN("all daemons choose the same one and reserve it for a limited time")
    {
      const auto chosen = PoisonTracker::ChooseUpstreamForSuspect(poison, live);
      REQUIRE(chosen.has_value());
      CHECK(PoisonTracker::ChooseUpstreamForSuspect(poison, reversed) ==
            chosen);
      CHECK(tracker.ReservedUpstreams(live, now) == std::vector{ *chosen });
      CHECK(tracker.ReservedUpstreams(live, now + 2min).empty());
    }
    THEN("none is chosen if none is live")
    {
      CHECK_FALSE(
        PoisonTracker::ChooseUpstreamForSuspect(poison, {}).has_value());
    }
  }
  GIVEN("more suspects than records are kept")
  {
    RunAndCrash(tracker, poison, 1, now);
    RunAndCrash(tracker, poison, 2, now + 10s);
    RunAndCrash(tracker, poison, 3, now + 20s);
    for (std::size_t i = 0; i < PoisonTracker::kMaxRecords + 10; ++i) {
      tracker.MergeNotice(
        { { i, i }, i, now + 30s, PoisonEvidence::CrashedShared }, now + 30s);
    }
    THEN("memory is bounded and a refused request stays refused")
    {
      CHECK(tracker.Records() == PoisonTracker::kMaxRecords);
      CHECK(tracker.Admit(poison, now + 30s) == PoisonAdmission::Refuse);
    }
  }
}
