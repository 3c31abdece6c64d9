#include "wigeonwalk/membership/member_table.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

MemberUpdate
MakeUpdate(const std::string& aHost,
           std::uint64_t aIncarnation,
           MemberState aState)
{
  return { HostId(aHost), "127.0.0.1:1", AvailabilityZone("isar"),
           "south",       aIncarnation,  aState };
}

} // namespace

TEMPLATE_TEST_CASE("names of membership enumerations parse back",
                   "[enum]",
                   MergeOutcome)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}

// Guards against late or reordered gossip that overwrites newer state.
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
  MemberTable table(MakeUpdate("self", 1, Alive));
  table.Merge(MakeUpdate("peer", row.oldIncarnation, row.oldState), now);
  CAPTURE(row.oldIncarnation, NameOf(row.oldState));
  CAPTURE(row.newIncarnation, NameOf(row.newState));
  CHECK(table.Merge(MakeUpdate("peer", row.newIncarnation, row.newState),
                    now) == row.outcome);
  const MemberState state = table.Find(HostId("peer"))->update.state;
  CHECK(state == (row.outcome == Ignored ? row.oldState : row.newState));
  CHECK(table.LiveCount() == (state == Alive || state == Suspect ? 2 : 1));
  CHECK(table.LostCount() == (state == Lost ? 1 : 0));
}

// Guards against a live daemon that stays suspected, and against a daemon that
// revives itself after it has left.
SCENARIO("a suspected daemon refutes with a higher incarnation", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(MakeUpdate("self", 10, MemberState::Alive));
  GIVEN("a suspicion of the current incarnation")
  {
    CHECK(table.Merge(MakeUpdate("self", 10, MemberState::Suspect), now) ==
          MergeOutcome::Refuted);
    THEN("the refutation is disseminated")
    {
      CHECK(table.Self().incarnation == 11);
      CHECK(table.TakeUpdates(5, HostId("peer")).at(0) == table.Self());
    }
  }
  GIVEN("the loss of an earlier process on the same host")
  {
    CHECK(table.Merge(MakeUpdate("self", 9, MemberState::Lost), now) ==
          MergeOutcome::Ignored);
  }
  GIVEN("an earlier process whose clock ran ahead")
  {
    table.Merge(MakeUpdate("self", 500, MemberState::Alive), now);
    CHECK(table.Self().incarnation == 501);
  }
  GIVEN("a daemon that leaves")
  {
    table.Leave();
    CHECK(table.Merge(MakeUpdate("self", 10, MemberState::Lost), now) ==
          MergeOutcome::Ignored);
    CHECK(table.Self().state == MemberState::Left);
  }
}

// Guards against members that become lost too early, that are kept forever, or
// that are never informed that they are suspected.
SCENARIO("a suspected member becomes lost unless it refutes", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(MakeUpdate("self", 1, MemberState::Alive));
  table.Merge(MakeUpdate("peer", 5, MemberState::Alive), now);
  REQUIRE(table.Suspect(HostId("peer"), now));
  const std::uint64_t liveVersion = table.LiveVersion();

  THEN("the suspicion is the first update sent to the suspected member")
  {
    CHECK(table.TakeUpdates(1, HostId("peer")).at(0).state ==
          MemberState::Suspect);
  }
  WHEN("the suspicion expires")
  {
    CHECK(table.ExpireSuspicions(now + 2999ms).empty());
    CHECK(table.ExpireSuspicions(now + 3s).size() == 1);
    CHECK(table.LiveVersion() > liveVersion);
    THEN("the lost member is removed after a day")
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

// Guards against updates that are sent forever or not at all.
SCENARIO("an update is sent a bounded number of times", "[members]")
{
  const TimePoint now(1h);
  MemberTable table(MakeUpdate("self", 1, MemberState::Alive));
  table.Merge(MakeUpdate("a", 5, MemberState::Alive), now);
  table.Merge(MakeUpdate("b", 5, MemberState::Alive), now);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += static_cast<int>(table.TakeUpdates(1, HostId("x")).size());
  }
  CHECK(sent == 8);
}
