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
  // Number of attempts that reached a runner.
  std::size_t sent;
  // Status of the runner's response relayed to the caller; 0 for a refusal.
  unsigned status;
  Verdict verdict;
};

} // namespace

// Guards against requests that run twice, refusals that wrongly claim that the
// request did not run, and requests that are refused though a retry is safe.
SCENARIO("each kind of failure leads to the right retry and verdict")
{
  const auto row = GENERATE(values<FaultRow>({
    { "answered", "booking", { Script::Answer }, 1, 200, {} },
    { "connection refused, retried elsewhere",
      "booking",
      { Script::RefuseConnection, Script::Answer },
      1,
      200,
      {} },
    { "all connections refused",
      "booking",
      { Script::RefuseConnection },
      0,
      0,
      Verdict::NotRun },
    { "connection lost while sending",
      "booking",
      { Script::BreakWhileSending, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "refused without running, retried elsewhere",
      "booking",
      { Script::RefuseWithoutRunning, Script::Answer },
      2,
      200,
      {} },
    { "refused without running twice",
      "booking",
      { Script::RefuseWithoutRunning },
      2,
      0,
      Verdict::NotRun },
    { "address of another runner",
      "booking",
      { Script::Misdirected, Script::Answer },
      2,
      200,
      {} },
    { "response lost",
      "booking",
      { Script::LoseAnswer, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "response lost after a refusal",
      "booking",
      { Script::RefuseWithoutRunning, Script::LoseAnswer },
      2,
      0,
      Verdict::MayHaveRun },
    { "response truncated",
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
    { "server error",
      "booking",
      { Script::ServerError, Script::Answer },
      1,
      500,
      {} },
    { "unsigned status that implies not run",
      "booking",
      { Script::ImplyNotRun, Script::Answer },
      1,
      0,
      Verdict::MayHaveRun },
    { "no response", "booking", { Script::Hang }, 1, 0, Verdict::MayHaveRun },
    { "exception before the request is sent",
      "booking",
      { Script::ThrowUnsent },
      0,
      0,
      Verdict::NotRun },
    { "exception after the request was sent",
      "booking",
      { Script::ThrowSent },
      1,
      0,
      Verdict::MayHaveRun },
    { "lookup: response lost, retried",
      "lookup",
      { Script::LoseAnswer, Script::Answer },
      2,
      200,
      {} },
    { "lookup: response truncated, retried",
      "lookup",
      { Script::CutAnswer, Script::Answer },
      2,
      200,
      {} },
    { "lookup: server error, retried",
      "lookup",
      { Script::ServerError, Script::Answer },
      2,
      200,
      {} },
    { "lookup: server error twice",
      "lookup",
      { Script::ServerError },
      2,
      500,
      {} },
    { "lookup: response lost twice",
      "lookup",
      { Script::LoseAnswer },
      2,
      0,
      Verdict::MayHaveRun },
    { "lookup: server error, then response lost",
      "lookup",
      { Script::ServerError, Script::LoseAnswer },
      2,
      500,
      {} },
    { "stream: connection lost before the first event",
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
  CHECK(entry.runners.attempts.size() == row.sent);
  CHECK(caller.status == row.status);
  CHECK(caller.complete);
  if (row.status == 0) {
    REQUIRE(caller.refusal.has_value());
    CHECK(caller.refusal->verdict == row.verdict);
    const bool advises = caller.refusal->retryAfter > Duration(0);
    CHECK(advises == (row.verdict == Verdict::NotRun));
  }
  // A retry never goes to the same runner.
  if (entry.runners.attempts.size() == 2) {
    CHECK(entry.runners.attempts[0].runner != entry.runners.attempts[1].runner);
  }
}

// Guards against a request that crashes one runner after another because its
// caller keeps sending it.
SCENARIO("a request crashes each runner that runs it")
{
  TestEntry entry;
  entry.runners.scripts = { Script::LoseAnswer };
  for (int i = 0; i < 8; ++i) {
    entry.Send("booking");
    // Each runner registers again with a new start time.
    for (const auto& runner : entry.state.fleet.All()) {
      RunnerEntry next = runner->entry;
      ++next.startedAt;
      entry.state.Apply(next, entry.time.Now());
    }
    entry.time.RunUntil(entry.time.Now() + 6s);
  }

  THEN("it reaches no further runner after the third")
  {
    CHECK(entry.runners.attempts.size() == kMaxCrashes);
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

// Guards against unauthorised requests that are forwarded and authorised ones
// that are refused.
SCENARIO("only requests that the configuration allows are forwarded")
{
  TestEntry entry;

  THEN("an unknown key is refused")
  {
    const FakeCaller caller = entry.Send("booking", "stolen");
    CHECK(caller.refusal->reason.code == ReasonCode::Unauthorized);
    CHECK(entry.runners.attempts.empty());
  }

  THEN("an unknown path is refused")
  {
    const FakeCaller caller = entry.Send("nowhere");
    CHECK(caller.refusal->reason.code == ReasonCode::NotFound);
  }

  THEN("a key is refused once the configuration no longer lists it")
  {
    RoutingConfiguration next = entry.state.Routes()->Configuration();
    next.version = 2;
    next.organisations[0].apiKeys = { "other" };
    entry.state.Apply(next, entry.time.Now());
    CHECK(entry.Send("booking").refusal->reason.code ==
          ReasonCode::Unauthorized);
    CHECK(entry.Send("booking", "other").status == 200);
  }

  THEN("an older configuration never replaces a newer one")
  {
    RoutingConfiguration older = entry.state.Routes()->Configuration();
    older.version = 0;
    older.routes.clear();
    entry.state.Apply(older, entry.time.Now());
    CHECK(entry.Send("booking").status == 200);
  }

  THEN("a request just after the start waits for the first configuration")
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

  THEN("without any configuration a request is refused as unavailable")
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

// Guards against requests that outlive their deadline, and against refusals
// that come too late.
SCENARIO("a request ends by its deadline")
{
  TestEntry entry;
  const TimePoint start = entry.time.Now();

  WHEN("no runner is registered")
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

  WHEN("the runner does not respond")
  {
    entry.runners.scripts = { Script::Hang };

    THEN("it ends at the route's timeout")
    {
      const FakeCaller caller = entry.Send("booking");
      CHECK(caller.refusal->reason.code == ReasonCode::ResponseTimeout);
      CHECK(entry.time.Now() - start == 2s + 0ms);
    }

    THEN("or at the caller's timeout, which is sent to the runner")
    {
      entry.callerTimeout = 500ms;
      entry.Send("booking");
      CHECK(entry.time.Now() - start == 500ms);
      CHECK(entry.runners.attempts[0].timeLeft == 500ms);
    }
  }

  WHEN("the retry budget is exhausted")
  {
    while (entry.state.retryBudget.TrySpend(ServiceName("plain"), 1, start)) {
    }
    entry.runners.scripts = { Script::LoseAnswer, Script::Answer };

    THEN("the request is not retried")
    {
      entry.Send("lookup");
      CHECK(entry.runners.attempts.size() == 1);
    }
  }
}

// Guards against attempts that continue after their caller has disconnected.
SCENARIO("a caller disconnects")
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
  const auto runner = entry.state.fleet.Find(entry.runners.attempts[0].runner);
  CHECK(runner->inFlight == 0);
  // The disconnect does not count as a failure of the runner.
  CHECK_FALSE(runner->health.IsAvoided(entry.time.Now()));
  CHECK(runner->health.FailureRate(entry.time.Now()) == 0);
  CHECK(entry.runners.attempts.size() == 1);
  CHECK_FALSE(caller.refusal.has_value());
}
