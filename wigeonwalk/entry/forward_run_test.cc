#include "wigeonwalk/entry/test_entry.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <catch2/catch.hpp>

#include <deque>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

struct FaultRow
{
  const char* name;
  const char* route;
  std::deque<Script> scripts;
  // Attempts that reached a runner.
  std::size_t sent;
  // What the caller gets: a runner's status, or 0 for a refusal.
  unsigned status;
  Verdict verdict;
};

} // namespace

// Guards against a request that runs twice, a refusal that promises what isn't
// so, and a request that is given up although it may be sent again.
SCENARIO("what becomes of a request after each kind of failure")
{
  const auto row = GENERATE(values<FaultRow>({
    { "answered", "booking", { Script::Answer }, 1, 200, {} },
    { "not connected, sent elsewhere",
      "booking",
      { Script::RefuseConnection, Script::Answer },
      1,
      200,
      {} },
    { "never connected",
      "booking",
      { Script::RefuseConnection },
      0,
      0,
      Verdict::NotRun },
    { "half written",
      "booking",
      { Script::BreakWhileSending, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "refused unrun, sent elsewhere",
      "booking",
      { Script::RefuseUnrun, Script::Answer },
      2,
      200,
      {} },
    { "refused unrun twice",
      "booking",
      { Script::RefuseUnrun },
      2,
      0,
      Verdict::NotRun },
    { "address of another runner",
      "booking",
      { Script::Misdirected, Script::Answer },
      2,
      200,
      {} },
    { "answer lost",
      "booking",
      { Script::LoseAnswer, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "answer lost after a refusal",
      "booking",
      { Script::RefuseUnrun, Script::LoseAnswer },
      2,
      0,
      Verdict::MayHaveRun },
    { "answer cut",
      "booking",
      { Script::CutAnswer, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "success without a signature",
      "booking",
      { Script::Unsigned },
      1,
      0,
      Verdict::MayHaveRun },
    { "failed by the runner",
      "booking",
      { Script::FailOnce, Script::Answer },
      1,
      500,
      {} },
    { "promised unrun by nobody",
      "booking",
      { Script::PromiseUnrun, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "silent", "booking", { Script::Hang }, 1, 0, Verdict::MayHaveRun },
    { "lookup lost, sent again",
      "lookup",
      { Script::LoseAnswer, Script::Answer },
      2,
      200,
      {} },
    { "lookup cut, sent again",
      "lookup",
      { Script::CutAnswer, Script::Answer },
      2,
      200,
      {} },
    { "lookup failed, sent again",
      "lookup",
      { Script::FailOnce, Script::Answer },
      2,
      200,
      {} },
    { "lookup failed twice", "lookup", { Script::FailOnce }, 2, 500, {} },
    { "lookup lost twice",
      "lookup",
      { Script::LoseAnswer },
      2,
      0,
      Verdict::MayHaveRun },
    { "lookup failed, then lost",
      "lookup",
      { Script::FailOnce, Script::LoseAnswer },
      2,
      500,
      {} },
    { "stream lost before its first event",
      "stream",
      { Script::LoseAnswer, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
  }));
  TestEntry entry;
  entry.runners.scripts = row.scripts;
  INFO(row.name);
  const FakeCaller caller = entry.Send(row.route);
  CHECK(entry.runners.orders.size() == row.sent);
  CHECK(caller.status == row.status);
  CHECK(caller.complete);
  if (row.status == 0) {
    REQUIRE(caller.refusal.has_value());
    CHECK(caller.refusal->verdict == row.verdict);
    const bool advises = caller.refusal->retryAfter > Duration(0);
    CHECK(advises == (row.verdict == Verdict::NotRun));
  }
  // No second attempt goes to the same runner.
  if (entry.runners.orders.size() == 2) {
    CHECK(entry.runners.orders[0].runner != entry.runners.orders[1].runner);
  }
}

// Guards against a request that crashes one runner after the other.
SCENARIO("a request crashes each runner that runs it")
{
  TestEntry entry;
  entry.runners.scripts = { Script::LoseAnswer };
  for (int i = 0; i < 8; ++i) {
    entry.Send("booking");
    // The runner is back as another start.
    for (const auto& runner : entry.state.fleet.All()) {
      RunnerEntry next = runner->entry;
      ++next.startedAt;
      entry.state.Apply(next, entry.time.Now());
    }
    entry.time.RunUntil(entry.time.Now() + 6s);
  }

  THEN("it reaches no runner after the third")
  {
    CHECK(entry.runners.orders.size() == kMaxDeaths);
    const FakeCaller caller = entry.Send("booking");
    CHECK(caller.refusal->reason.code == ReasonCode::Poisoned);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
  }

  THEN("other requests are served")
  {
    entry.runners.scripts = { Script::Answer };
    CHECK(entry.Send("lookup").status == 200);
  }
}

// Guards against requests that run without a right to, and against refusals of
// requests that have one.
SCENARIO("only requests that the configuration allows are forwarded")
{
  TestEntry entry;

  THEN("an unknown key is refused")
  {
    const FakeCaller caller = entry.Send("booking", "stolen");
    CHECK(caller.refusal->reason.code == ReasonCode::Unauthorized);
    CHECK(entry.runners.orders.empty());
  }

  THEN("an unknown path is refused")
  {
    const FakeCaller caller = entry.Send("nowhere");
    CHECK(caller.refusal->reason.code == ReasonCode::NotFound);
  }

  THEN("a revoked key is refused from the next configuration on")
  {
    RoutingConfiguration next = entry.state.Routes()->Configuration();
    next.version = 2;
    next.organisations[0].apiKeys = { "other" };
    entry.state.Apply(next, entry.time.Now());
    CHECK(entry.Send("booking").refusal->reason.code ==
          ReasonCode::Unauthorized);
    CHECK(entry.Send("booking", "other").status == 200);
  }

  THEN("an older configuration never comes back")
  {
    RoutingConfiguration older = entry.state.Routes()->Configuration();
    older.version = 0;
    older.routes.clear();
    entry.state.Apply(older, entry.time.Now());
    CHECK(entry.Send("booking").status == 200);
  }

  THEN("just after the start it waits for the configuration to be read")
  {
    EntryState fresh(TestEntry::Settings());
    fresh.startedAt = entry.time.Now();
    FakeRunners::Request request;
    request.facts.host = "a.example";
    request.facts.target = "/booking/7";
    request.facts.apiKey = "key";
    FakeCaller caller;
    TestRun run(
      fresh, entry.runners, entry.peers, entry.measures, entry.time, entry.log);
    entry.time.Spawn(run.Forward(request, caller));
    entry.time.RunUntil(entry.time.Now() + 100ms);
    CHECK_FALSE(caller.complete);
    fresh.Apply(entry.state.Routes()->Configuration(), entry.time.Now());
    for (const auto& runner : entry.state.fleet.All()) {
      fresh.Apply(runner->entry, entry.time.Now());
    }
    entry.time.RunUntilIdle(entry.time.Now() + 1s);
    CHECK(caller.status == 200);
  }

  THEN("without any configuration the caller is asked to come back")
  {
    EntryState empty(TestEntry::Settings());
    FakeRunners::Request request;
    FakeCaller caller;
    TestRun run(
      empty, entry.runners, entry.peers, entry.measures, entry.time, entry.log);
    entry.time.Spawn(run.Forward(request, caller));
    entry.time.RunUntilIdle(entry.time.Now() + 1s);
    CHECK(caller.refusal->reason.code == ReasonCode::Unavailable);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
  }
}

// Guards against requests that are held beyond their time, or given up late.
SCENARIO("a request ends in its time")
{
  TestEntry entry;
  const TimePoint start = entry.time.Now();

  WHEN("no runner is left")
  {
    for (const char* id : { "r-1", "r-2", "r-3" }) {
      entry.state.ApplyRemoved(UpstreamId(id), start);
    }
    const FakeCaller caller = entry.Send("booking");

    THEN("it is refused after an eighth of the target latency")
    {
      CHECK(caller.refusal->verdict == Verdict::NotRun);
      CHECK(entry.time.Now() - start <= 120ms);
    }
  }

  WHEN("the runner is silent")
  {
    entry.runners.scripts = { Script::Hang };

    THEN("it ends at the route's timeout")
    {
      const FakeCaller caller = entry.Send("booking");
      CHECK(caller.refusal->reason.code == ReasonCode::ResponseTimeout);
      CHECK(entry.time.Now() - start == 2s + 0ms);
    }

    THEN("or when the caller's patience ends, which the runner is told")
    {
      entry.patience = 500ms;
      entry.Send("booking");
      CHECK(entry.time.Now() - start == 500ms);
      CHECK(entry.runners.orders[0].timeLeft == 500ms);
    }
  }

  WHEN("the budget of repeats is used up")
  {
    while (entry.state.repeats.TrySpend(ServiceName("plain"), 1, start)) {
    }
    entry.runners.scripts = { Script::LoseAnswer, Script::Answer };

    THEN("nothing is sent again")
    {
      entry.Send("lookup");
      CHECK(entry.runners.orders.size() == 1);
    }
  }
}

// Guards against work that goes on for a caller that has left.
SCENARIO("a caller leaves")
{
  using boost::asio::experimental::awaitable_operators::operator||;
  TestEntry entry;
  entry.runners.scripts = { Script::Hang };
  FakeRunners::Request request;
  request.facts.id = RequestId("q-1");
  request.facts.host = "a.example";
  request.facts.target = "/booking/7";
  request.facts.apiKey = "key";
  FakeCaller caller;
  TestRun run(entry.state,
              entry.runners,
              entry.peers,
              entry.measures,
              entry.time,
              entry.log);
  const auto session = [&]() -> Task<void> {
    const TimePoint leavesAt = entry.time.Now() + 100ms;
    co_await (run.Forward(request, caller) || entry.time.WaitUntil(leavesAt));
  };
  entry.time.Spawn(session());
  entry.time.RunUntil(entry.time.Now() + 50ms);
  CHECK(entry.runners.open.use_count() > 1);
  entry.time.RunUntil(entry.time.Now() + 60ms);
  CHECK(entry.runners.open.use_count() == 1);
  const auto runner = entry.state.fleet.Find(entry.runners.orders[0].runner);
  CHECK(runner->inFlight == 0);
  // That the caller left says nothing of the runner.
  CHECK_FALSE(runner->health.IsAvoided(entry.time.Now()));
  CHECK(runner->health.FailureRate(entry.time.Now()) == 0);
  CHECK(entry.runners.orders.size() == 1);
  CHECK_FALSE(caller.refusal.has_value());
}
