#include "wigeonwalk/placement/link_model.h"
#include "wigeonwalk/placement/load_estimate.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const OrganisationId kLarge("large");
const OrganisationId kSmall("small");
const TimePoint kNow{ 1h };

Transfer
Restore(std::uint64_t aId, const OrganisationId& aOrganisation)
{
  return { aId, TransferKind::CallerRestore, aOrganisation, 1000 };
}

} // namespace

TEST_CASE("every transfer kind parses back to its value", "[enum]")
{
  for (const auto& row : EnumNames<TransferKind>::kTable) {
    CHECK(ParseName<TransferKind>(row.name) == row.value);
  }
}

SCENARIO("a link serves callers first and organisations fairly", "[link]")
{
  LinkModel link({ .bytesPerSecond = 1000, .slots = 3 });
  // Guards against an export that delays a waiting caller.
  WHEN("an export and a restore wait")
  {
    link.Submit({ 1, TransferKind::Export, kLarge, 1000 }, kNow);
    link.Submit(Restore(2, kLarge), kNow);
    CHECK(link.Start(kNow)->id == 2);
  }
  WHEN("other work holds the slots when a caller arrives")
  {
    link.Submit({ 1, TransferKind::Export, kLarge, 1000 }, kNow);
    link.Submit({ 2, TransferKind::Replicate, kLarge, 1000 }, kNow);
    link.Submit({ 3, TransferKind::Prefetch, kSmall, 1000 }, kNow);
    while (link.Start(kNow)) {
    }
    REQUIRE(link.Running() == 3);
    CHECK(link.ToPreempt().empty());
    link.Submit(Restore(4, kSmall), kNow);
    THEN("that work is listed for preemption")
    {
      CHECK(link.ToPreempt().size() == 3);
    }
  }
  // Guards against one organisation that occupies all slots of a link.
  WHEN("one organisation submits many restores before another")
  {
    for (std::uint64_t id = 1; id <= 9; ++id) {
      link.Submit(Restore(id, kLarge), kNow);
    }
    while (link.Start(kNow)) {
    }
    THEN("a slot stays free for the other, which then goes first")
    {
      CHECK(link.Running() == 2);
      CHECK(link.ExpectedSeconds(
              TransferKind::CallerRestore, kSmall, 1000, kNow) == Approx(4));
      CHECK(link.ExpectedSeconds(
              TransferKind::CallerRestore, kLarge, 1000, kNow) == Approx(10));
      link.Submit(Restore(10, kSmall), kNow);
      CHECK(link.Start(kNow)->id == 10);
    }
  }
}

// Guards against restores that continue to use a link that has become slow.
SCENARIO("a link at a tenth of its rate is detected as slow", "[link]")
{
  LinkModel link({ .bytesPerSecond = 1000, .slots = 2 });
  TimePoint now = kNow;
  WHEN("transfers take ten times as long as at the stated rate")
  {
    int transfers = 0;
    while (!link.IsSlow(now) && transfers < 10) {
      link.Submit(Restore(7, kLarge), now);
      REQUIRE(link.Start(now));
      now += 10s;
      link.Finish(7, true, now);
      ++transfers;
    }
    THEN("it counts as slow within three")
    {
      CHECK(transfers <= 3);
      CHECK(link.ExpectedSeconds(
              TransferKind::CallerRestore, kLarge, 1000, now) > 2);
    }
    AND_WHEN("it was not used for a long time")
    {
      CHECK_FALSE(link.IsSlow(now + 5 * kRateRecoveryHalfLife));
    }
  }
  WHEN("one transfer is still running after twenty times its expected time")
  {
    link.Submit(Restore(1, kLarge), now);
    REQUIRE(link.Start(now));
    CHECK(link.IsSlow(now + 20s));
  }
  WHEN("two transfers share the link at its stated rate")
  {
    link.Submit(Restore(1, kLarge), now);
    link.Submit(Restore(2, kSmall), now);
    REQUIRE(link.Start(now));
    REQUIRE(link.Start(now));
    link.Finish(1, true, now + 2s);
    link.Finish(2, true, now + 2s);
    CHECK(link.Rate(now + 2s) == Approx(1000));
  }
}

// Guards against placements by a load report that is seconds old.
SCENARIO("a delayed report is corrected by the work sent since", "[load]")
{
  LoadEstimate load;
  load.Report(2, kNow);
  load.NoteSent(1, kNow + 1s);
  CHECK(load.Waiting(kNow + 1s) == Approx(2));
  CHECK(load.Waiting(kNow + 5s) == Approx(0));
  load.NoteSent(3, kNow + 6s);
  CHECK(load.Waiting(kNow + 6s) == Approx(3));
  WHEN("a report covers what was sent before it")
  {
    load.Report(0.5, kNow + 2s);
    CHECK(load.Waiting(kNow + 6s) == Approx(3));
    load.Report(0.5, kNow + 7s);
    CHECK(load.Waiting(kNow + 7s) == Approx(0.5));
    load.Report(9, kNow + 3s);
    CHECK(load.Waiting(kNow + 7s) == Approx(0.5));
  }
  WHEN("no report arrives for a long time")
  {
    for (int i = 0; i < 1000; ++i) {
      load.NoteSent(0.5, kNow + 10s + i * 1s);
    }
    CHECK(load.Waiting(kNow + 1009s) == Approx(0.5));
  }
}
