#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const UpstreamId kFirst("r-1");
const UpstreamId kSecond("r-2");
const UpstreamId kThird("r-3");

RunnerEntry
MakeEntry(const UpstreamId& aId, std::int64_t aStartedAt)
{
  RunnerEntry entry;
  entry.id = aId;
  entry.service = ServiceName("plain");
  entry.address = aId.Text();
  entry.zone = AvailabilityZone("north");
  entry.slots = 4;
  entry.startedAt = aStartedAt;
  entry.softwareVersion = "v1";
  return entry;
}

// A daemon before three runners that started at 100. The second and the third
// take requests only where a test needs them.
struct Setting : TestEntry
{
  Setting()
  {
    for (const UpstreamId& id : { kFirst, kSecond, kThird }) {
      this->state.Apply(MakeEntry(id, 100), this->time.Now());
    }
  }

  void UseOnly(const UpstreamId& aRunner)
  {
    for (const auto& runner : this->state.fleet.All()) {
      runner->pausedUntil =
        runner->entry.id == aRunner ? TimePoint() : this->time.Now() + 1h;
    }
  }

  void UseAll()
  {
    for (const auto& runner : this->state.fleet.All()) {
      runner->pausedUntil = TimePoint();
      runner->health = RunnerHealth();
    }
  }

  // Returns how many of twenty requests reach the runner.
  std::size_t SentTo(const UpstreamId& aRunner)
  {
    this->UseAll();
    this->runners.attempts.clear();
    this->runners.scripts = { Script::Answer };
    for (int i = 0; i < 20; ++i) {
      this->Send("lookup");
    }
    return static_cast<std::size_t>(std::count_if(
      this->runners.attempts.begin(),
      this->runners.attempts.end(),
      [&](const AttemptSpec& aSpec) { return aSpec.runner == aRunner; }));
  }

  // Starts a request that takes its time to connect.
  void StartSlowly(const FakeRunners::Request& aRequest, FakeCaller& aCaller)
  {
    this->runners.connectTime = 50ms;
    this->time.Spawn(this->Run(aRequest, aCaller));
    this->time.RunUntil(this->time.Now() + 10ms);
  }

  Task<void> Run(const FakeRunners::Request& aRequest, FakeCaller& aCaller)
  {
    TestRun run(this->state,
                this->runners,
                this->peers,
                this->measures,
                this->time,
                this->log);
    co_await run.Forward(aRequest, aCaller);
  }

  Runner& Of(const UpstreamId& aId) { return *this->state.fleet.Find(aId); }
};

FakeRunners::Request
MakeRequest(const std::string& aRoute)
{
  FakeRunners::Request request;
  request.facts.id = RequestId("q-1");
  request.facts.host = "a.example";
  request.facts.target = "/" + aRoute + "/7";
  request.facts.apiKey = "key";
  request.facts.callerTimeout = 10s;
  return request;
}

} // namespace

// Guards against requests that reach a runner after it has said that it leaves:
// the registry may be silent, late or out of reach.
SCENARIO("a runner that says that it leaves gets no new requests")
{
  Setting entry;

  GIVEN("a runner that says so in an answer, however its body ends")
  {
    const auto script = GENERATE(Script::Answer,
                                 Script::AnswerWhole,
                                 Script::RefuseWithoutRunning,
                                 Script::ServerError,
                                 Script::CutAnswer,
                                 Script::Unsigned,
                                 Script::ImplyNotRun);
    entry.runners.leaving = { kFirst };
    entry.runners.scripts = { script };
    entry.UseOnly(kFirst);
    entry.Send("booking");
    REQUIRE(entry.runners.attempts.size() == 1);

    THEN("no later request reaches it")
    {
      CHECK(entry.Of(kFirst).leaving);
      CHECK(entry.SentTo(kFirst) == 0);
      CHECK(entry.runners.attempts.size() == 20);
    }
    THEN("it is counted once")
    {
      entry.Send("booking");
      const auto answers = static_cast<std::size_t>(LeavingCause::Answer);
      CHECK(entry.state.leavingCounts[answers] == 1);
    }
  }

  GIVEN("a stream whose head says so")
  {
    entry.runners.leaving = { kFirst };
    entry.runners.stream = true;
    entry.UseOnly(kFirst);
    const auto request = MakeRequest("stream");
    FakeCaller caller;
    entry.time.Spawn(entry.Run(request, caller));
    entry.time.RunUntil(entry.time.Now() + 12ms);
    REQUIRE_FALSE(caller.complete);

    THEN("the runner leaves before the stream has ended")
    {
      CHECK(entry.Of(kFirst).leaving);
    }
    THEN("the stream goes on to its end")
    {
      entry.time.RunUntil(entry.time.Now() + 1s);
      CHECK(caller.body == "1;2;3;4;");
      CHECK(caller.complete);
    }
  }

  GIVEN("a request that was chosen for the runner and is not sent yet")
  {
    entry.UseOnly(kFirst);
    const auto request = MakeRequest("booking");
    FakeCaller caller;
    entry.StartSlowly(request, caller);
    entry.state.MarkLeaving(entry.Of(kFirst), LeavingCause::Answer);

    WHEN("another runner can be used")
    {
      entry.UseAll();
      entry.time.RunUntil(entry.time.Now() + 1s);
      THEN("it is sent there only")
      {
        REQUIRE(entry.runners.attempts.size() == 1);
        CHECK(entry.runners.attempts[0].runner != kFirst);
        CHECK(caller.status == 200);
      }
    }
    WHEN("there is none")
    {
      entry.time.RunUntil(entry.time.Now() + 3s);
      THEN("the caller is told that it did not run")
      {
        CHECK(entry.runners.attempts.empty());
        REQUIRE(caller.refusal);
        CHECK(caller.refusal->verdict == Verdict::NotRun);
      }
    }
  }

  GIVEN("a request that waits until a runner can be used")
  {
    for (const auto& runner : entry.state.fleet.All()) {
      runner->pausedUntil = entry.time.Now() + 1h;
    }
    const auto request = MakeRequest("booking");
    FakeCaller caller;
    entry.time.Spawn(entry.Run(request, caller));
    entry.time.RunUntil(entry.time.Now() + 10ms);
    entry.state.MarkLeaving(entry.Of(kFirst), LeavingCause::Peer);
    entry.UseOnly(kFirst);
    entry.time.RunUntil(entry.time.Now() + 30ms);
    CHECK(entry.runners.attempts.empty());
    entry.UseAll();
    entry.time.RunUntil(entry.time.Now() + 1s);
    THEN("it goes to one that stays")
    {
      REQUIRE(entry.runners.attempts.size() == 1);
      CHECK(entry.runners.attempts[0].runner != kFirst);
    }
  }

  GIVEN("a request that is sent again, or a stream that is resumed")
  {
    const auto row =
      GENERATE(std::pair{ "lookup", Script::LoseAnswer },
               std::pair{ "booking", Script::RefuseWithoutRunning },
               std::pair{ "resumable", Script::BreakStreamAfterTwo });
    entry.state.MarkLeaving(entry.Of(kSecond), LeavingCause::Answer);
    entry.runners.scripts = { row.second, Script::Answer };
    entry.Send(row.first);
    THEN("the second attempt goes to a runner that stays")
    {
      REQUIRE(entry.runners.attempts.size() == 2);
      CHECK(entry.runners.attempts[0].runner != kSecond);
      CHECK(entry.runners.attempts[1].runner != kSecond);
    }
  }
}

// Guards against a mark that outlives the start of the runner that it is about,
// or that is lost while that start is alive.
SCENARIO("a mark of a leaving runner holds for one start")
{
  Setting entry;
  const auto old = entry.state.fleet.Find(kFirst);
  const TimePoint now = entry.time.Now();

  GIVEN("a marked runner")
  {
    entry.state.MarkLeaving(*old, LeavingCause::Answer);

    WHEN("it starts again under its id, by a clock that may have stepped back")
    {
      entry.state.Apply(MakeEntry(kFirst, GENERATE(200, 50)), now);
      CHECK(entry.SentTo(kFirst) > 0);

      THEN("a late answer of the earlier start does not mark it")
      {
        entry.state.MarkLeaving(*old, LeavingCause::Answer);
        CHECK(entry.SentTo(kFirst) > 0);
        NullLog log;
        ApplyAdvice(entry.state, log, old, { true }, now);
        const auto current = entry.state.fleet.Find(kFirst);
        ApplyAdvice(entry.state, log, current, 100, { true }, now);
        CHECK_FALSE(current->leaving);
      }
    }
    WHEN("another runner has its address")
    {
      RunnerEntry other = MakeEntry(UpstreamId("r-4"), 300);
      other.address = "r-1";
      entry.state.Apply(other, now);
      CHECK(entry.SentTo(UpstreamId("r-4")) > 0);
    }
    WHEN("its registration lapses and returns")
    {
      entry.state.ApplyRemoved(kFirst, now);
      entry.state.ExpireLeaving(now);
      entry.state.ExpireLeaving(now + 1min);
      entry.state.Apply(MakeEntry(kFirst, 100), now);
      CHECK(entry.SentTo(kFirst) == 0);
    }
    WHEN("its registration has been gone for long")
    {
      entry.state.ApplyRemoved(kFirst, now);
      entry.state.ExpireLeaving(now);
      entry.state.ExpireLeaving(now + EntryState::kLeavingRetention);
      CHECK(entry.state.leaving.Size() == 0);
    }
  }

  GIVEN("a runner whose start is not known")
  {
    const UpstreamId unknown("r-5");
    entry.state.Apply(MakeEntry(unknown, 0), now);
    entry.state.MarkLeaving(entry.Of(unknown), LeavingCause::Answer);
    CHECK(entry.SentTo(unknown) == 0);

    THEN("the mark ends with the registration and is not told to peers")
    {
      CHECK(entry.state.leaving.Size() == 0);
      RunnerEntry moved = MakeEntry(unknown, 0);
      moved.address = "elsewhere";
      entry.state.Apply(moved, now);
      CHECK(entry.SentTo(unknown) > 0);
    }
    THEN("a peer's mark without a start marks nothing")
    {
      CHECK(entry.state.MergeLeaving({ kSecond, 0 }) == nullptr);
      CHECK(entry.SentTo(kSecond) > 0);
    }
  }
}
