#include "wigeonwalk/membership/member_table.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

MemberUpdate
Say(const std::string& aHost, std::uint64_t aIncarnation, MemberState aState)
{
  return { HostId(aHost), "127.0.0.1:1", AvailabilityZone("isar"),
           "south",       aIncarnation,  aState };
}

} // namespace

TEMPLATE_TEST_CASE("every name in a membership table parses back",
                   "[enum]",
                   MergeOutcome)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}

// Guards against late or reordered gossip that undoes newer knowledge.
SCENARIO("a member's state follows the merge rules", "[members]")
{
  struct Case
  {
    std::uint64_t oldIncarnation;
    MemberState oldState;
    std::uint64_t newIncarnation;
    MemberState newState;
    MergeOutcome outcome;
  };
  using enum MemberState;
  using enum MergeOutcome;
  const auto row = GENERATE(values<Case>({
    { 5, Alive, 5, Alive, Ignored },
    { 5, Alive, 4, Lost, Ignored },
    { 5, Alive, 5, Suspect, Changed },
    { 5, Suspect, 5, Alive, Ignored },
    { 5, Suspect, 6, Alive, Changed },
    { 5, Suspect, 5, Lost, Changed },
    { 5, Lost, 5, Alive, Ignored },
    { 5, Lost, 5, Suspect, Ignored },
    // The host's next process replaces the lost one.
    { 5, Lost, 6, Alive, Joined },
    { 5, Lost, 5, Left, Changed },
    { 5, Left, 5, Lost, Ignored },
    { 5, Left, 5, Alive, Ignored },
    { 5, Left, 6, Alive, Joined },
  }));
  const TimePoint now(1h);
  MemberTable table(Say("self", 1, Alive));
  table.Merge(Say("peer", row.oldIncarnation, row.oldState), now);
  CAPTURE(row.oldIncarnation, NameOf(row.oldState));
  CAPTURE(row.newIncarnation, NameOf(row.newState));
  CHECK(table.Merge(Say("peer", row.newIncarnation, row.newState), now) ==
        row.outcome);
  const MemberState state = table.Find(HostId("peer"))->update.state;
  CHECK(state == (row.outcome == Ignored ? row.oldState : row.newState));
  CHECK(table.LiveCount() == (state == Alive || state == Suspect ? 2 : 1));
  CHECK(table.LostCount() == (state == Lost ? 1 : 0));
}

// Guards against a live daemon that stays accused, and against a leaving one
// that revives itself.
SCENARIO("an accused daemon refutes with a higher incarnation", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(Say("self", 10, MemberState::Alive));
  GIVEN("an accusation of the present incarnation")
  {
    CHECK(table.Merge(Say("self", 10, MemberState::Suspect), now) ==
          MergeOutcome::Refuted);
    THEN("the refutation is passed on")
    {
      CHECK(table.Self().incarnation == 11);
      CHECK(table.TakeUpdates(5, HostId("peer")).at(0) == table.Self());
    }
  }
  GIVEN("an accusation of an earlier process")
  {
    CHECK(table.Merge(Say("self", 9, MemberState::Lost), now) ==
          MergeOutcome::Ignored);
  }
  GIVEN("an earlier process whose clock ran ahead")
  {
    table.Merge(Say("self", 500, MemberState::Alive), now);
    CHECK(table.Self().incarnation == 501);
  }
  GIVEN("a daemon that leaves")
  {
    table.Leave();
    CHECK(table.Merge(Say("self", 10, MemberState::Lost), now) ==
          MergeOutcome::Ignored);
    CHECK(table.Self().state == MemberState::Left);
  }
}

// Guards against members lost too early, kept for ever, or never told of their
// own suspicion.
SCENARIO("suspicion ends in loss unless it is refuted", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(Say("self", 1, MemberState::Alive));
  table.Merge(Say("peer", 5, MemberState::Alive), now);
  REQUIRE(table.Suspect(HostId("peer"), now));
  const std::uint64_t liveVersion = table.LiveVersion();

  THEN("the accused hears of it first")
  {
    CHECK(table.TakeUpdates(1, HostId("peer")).at(0).state ==
          MemberState::Suspect);
  }
  WHEN("its time runs out")
  {
    CHECK(table.ExpireSuspicions(now + 2999ms).empty());
    CHECK(table.ExpireSuspicions(now + 3s).size() == 1);
    CHECK(table.LiveVersion() > liveVersion);
    THEN("it is dropped after a day")
    {
      table.Forget(now + 3s + 24h - 1us);
      CHECK(table.LostCount() == 1);
      table.Forget(now + 3s + 24h);
      CHECK(table.LostCount() == 0);
      CHECK(table.Others().empty());
    }
  }
  WHEN("this daemon was paused meanwhile")
  {
    table.RestartSuspicions(now + 1h);
    CHECK(table.ExpireSuspicions(now + 1h + 2s).empty());
  }
  WHEN("the table holds 350 members")
  {
    CHECK(ToSeconds(SuspicionTime(350)) == Approx(10.18).margin(0.01));
  }
}

// Guards against updates that are repeated for ever or never.
SCENARIO("an update is passed on a bounded number of times", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(Say("self", 1, MemberState::Alive));
  table.Merge(Say("a", 5, MemberState::Alive), now);
  table.Merge(Say("b", 5, MemberState::Alive), now);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += static_cast<int>(table.TakeUpdates(1, HostId("x")).size());
  }
  CHECK(sent == 8);
}
