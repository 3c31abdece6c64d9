#include "wigeonwalk/entry/forward_run.h"
#include "wigeonwalk/testing/null_log.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// What a runner does with one attempt.
enum class Script
{
  Answer,
  RefuseConnection,
  BreakWhileSending,
  RefuseUnrun,
  Misdirected,
  FailOnce,
  LoseAnswer,
  CutAnswer,
  Unsigned,
  BreakStreamAfterTwo,
  // A status that promises too much, without the runner's word for it.
  PromiseUnrun,
  Hang,
};

constexpr std::uint64_t kEvents = 4;

struct Attempts;

// One scripted attempt. Streams have the events 1 to kEvents.
struct FakeAttempt
{
  VirtualTime* time = nullptr;
  Script script = Script::Answer;
  bool isStream = false;
  std::uint64_t last = 0;
  std::uint64_t stopAt = kEvents;
  bool bodySent = false;
  std::shared_ptr<int> open = nullptr;
  int* finished = nullptr;

  Task<std::optional<AnswerFacts>> ReadHead(TimePoint aDeadline,
                                            LastReason& aReason)
  {
    co_await this->time->WaitUntil(this->time->Now() + 10ms);
    AnswerFacts head;
    head.status = 200;
    head.isSigned = this->script != Script::Unsigned;
    head.isEventStream = this->isStream;
    switch (this->script) {
      case Script::RefuseUnrun:
        head.status = 503;
        head.refusedUnrun = true;
        break;
      case Script::Misdirected:
        head.status = 421;
        head.refusedUnrun = true;
        break;
      case Script::PromiseUnrun:
        head.status = 503;
        head.promisesUnrun = true;
        head.isSigned = false;
        head.isEventStream = false;
        break;
      case Script::FailOnce:
        head.status = 500;
        head.isEventStream = false;
        break;
      case Script::LoseAnswer:
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "lost");
      case Script::Hang:
        // A cancelled read of a connection ends like a lost one.
        try {
          co_await this->time->WaitUntil(aDeadline);
        } catch (const boost::system::system_error& cancelled) {
          co_return Fail(
            aReason, ReasonCode::ConnectionLostAfterWrite, cancelled.what());
        }
        co_return Fail(aReason, ReasonCode::ResponseTimeout, "silent");
      default:
        break;
    }
    co_return head;
  }

  Task<std::optional<std::string>> ReadBody(TimePoint, LastReason& aReason)
  {
    if (this->bodySent) {
      if (this->script == Script::CutAnswer) {
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "cut");
      }
      co_return std::string();
    }
    this->bodySent = true;
    co_return std::string("body");
  }

  Task<std::optional<std::string>> ReadEvents(TimePoint, LastReason& aReason)
  {
    co_await this->time->WaitUntil(this->time->Now() + 5ms);
    if (this->last == this->stopAt) {
      if (this->stopAt < kEvents) {
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "lost");
      }
      co_return std::string();
    }
    ++this->last;
    co_return std::to_string(this->last) + ";";
  }

  std::optional<std::uint64_t> LastEventId() const
  {
    return this->last == 0 ? std::nullopt : std::optional(this->last);
  }

  void Finish() { ++*this->finished; }
};

// Opens attempts that follow the scripts in order, the last one for ever.
struct FakeRunners
{
  struct Request
  {
    EntryRequest facts;
  };
  using Attempt = FakeAttempt;

  Task<std::optional<FakeAttempt>> Open(const Request&,
                                        const AttemptOrder& aOrder,
                                        TimePoint,
                                        TimePoint,
                                        LastReason& aReason)
  {
    const Script script = this->scripts.front();
    if (this->scripts.size() > 1) {
      this->scripts.pop_front();
    }
    if (script == Script::RefuseConnection) {
      co_return Fail(aReason, ReasonCode::ConnectRefused, "refused");
    }
    this->orders.push_back(aOrder);
    if (script == Script::BreakWhileSending) {
      co_return Fail(aReason, ReasonCode::WriteFailedPartWay, "broken");
    }
    FakeAttempt attempt;
    attempt.time = this->time;
    attempt.script = script;
    attempt.isStream = this->stream;
    attempt.last = aOrder.resumeAfter.value_or(0);
    attempt.stopAt = script == Script::BreakStreamAfterTwo ? 2 : kEvents;
    attempt.open = this->open;
    attempt.finished = &this->finished;
    co_return attempt;
  }

  VirtualTime* time = nullptr;
  std::deque<Script> scripts{ Script::Answer };
  bool stream = false;
  std::vector<AttemptOrder> orders;
  int finished = 0;
  // Shared by all open attempts: its use count tells how many there are.
  std::shared_ptr<int> open = std::make_shared<int>(0);
};

// What the caller gets.
struct FakeCaller
{
  Task<bool> Answer(const FakeAttempt& aAttempt, std::string aBody)
  {
    this->status = aAttempt.script == Script::FailOnce ? 500 : 200;
    this->body += aBody;
    this->complete = true;
    co_return true;
  }
  Task<bool> BeginStream(const FakeAttempt&, std::string aEvents)
  {
    this->status = 200;
    this->body += aEvents;
    co_return true;
  }
  Task<bool> WriteEvents(std::string aEvents)
  {
    this->body += aEvents;
    co_return true;
  }
  Task<bool> EndStream()
  {
    this->complete = true;
    co_return true;
  }
  Task<bool> Refuse(const Refusal& aRefusal)
  {
    this->refusal = aRefusal;
    this->complete = true;
    co_return true;
  }
  void Abort() { this->aborted = true; }

  unsigned status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;
  std::optional<Refusal> refusal;
};

struct NoPeers
{
  void TellWork(const RunnerWork&) {}
  void TellPoison() {}
};

// Counts how requests ended.
struct CountMeasures
{
  void FirstToken(const MeasureScope&, Duration) {}
  void QueueTime(const MeasureScope&, Duration) {}
  void TokenGap(const MeasureScope&, Duration) {}
  void Prompt(const MeasureScope&, std::uint64_t, std::uint64_t) {}
  void Ended(const MeasureScope&, Verdict aVerdict) { ++this->ended[aVerdict]; }
  void Retried(const MeasureScope&) { ++this->retried; }
  void Dropped(const MeasureScope&) {}

  std::map<Verdict, int> ended;
  int retried = 0;
};

using Run =
  ForwardRun<FakeRunners, NoPeers, CountMeasures, VirtualTime, NullLog>;

// A daemon with one plain service of three runners and one engine service.
struct Setting
{
  Setting()
    : state(Settings())
  {
    this->runners.time = &this->time;
    RoutingConfiguration configuration;
    configuration.version = 1;
    const auto add = [&](std::string aPrefix, RequestKind aKind) {
      Route route;
      route.name = aPrefix;
      route.host = "a.example";
      route.prefix = "/" + aPrefix + "/";
      route.kind = aKind;
      route.timeout = 2s;
      route.targetLatency = 800ms;
      route.maxAttempts = 2;
      route.services = { { ServiceName("plain"), 1 } };
      configuration.routes.push_back(route);
    };
    add("lookup", RequestKind::Idempotent);
    add("booking", RequestKind::NonIdempotent);
    add("stream", RequestKind::Streaming);
    add("resumable", RequestKind::Streaming);
    configuration.routes.back().resumable = true;
    configuration.services = {
      { ServiceName("plain"), "/health", 10, {}, {} }
    };
    configuration.organisations = {
      { OrganisationId("tofu"), { "key" }, std::nullopt, false }
    };
    this->state.Apply(configuration, this->time.Now());
    for (const char* id : { "r-1", "r-2", "r-3" }) {
      RunnerEntry entry;
      entry.id = UpstreamId(id);
      entry.service = ServiceName("plain");
      entry.address = id;
      entry.zone = AvailabilityZone("north");
      entry.slots = 4;
      this->state.Apply(entry, this->time.Now());
    }
  }

  static EntrySettings Settings()
  {
    EntrySettings settings;
    settings.host = HostId("front-1");
    settings.zone = AvailabilityZone("north");
    settings.bounds.repeatSlack = 100;
    return settings;
  }

  // Runs one request to its end.
  FakeCaller Send(const std::string& aRoute, std::string aKey = "key")
  {
    FakeRunners::Request request;
    request.facts.id = RequestId("q-1");
    request.facts.host = "a.example";
    request.facts.target = "/" + aRoute + "/7";
    request.facts.content = HashBytes(request.facts.target, 0);
    request.facts.apiKey = std::move(aKey);
    request.facts.patience = this->patience;
    this->runners.stream = aRoute == "stream" || aRoute == "resumable";
    FakeCaller caller;
    Run run(this->state,
            this->runners,
            this->peers,
            this->measures,
            this->time,
            this->log);
    this->time.Spawn(run.Forward(request, caller));
    this->time.RunUntilIdle(this->time.Now() + 1min);
    return caller;
  }

  VirtualTime time;
  EntryState state;
  FakeRunners runners;
  NoPeers peers;
  CountMeasures measures;
  NullLog log;
  Duration patience = 10s;
};

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
  Setting setting;
  setting.runners.scripts = row.scripts;
  INFO(row.name);
  const FakeCaller caller = setting.Send(row.route);
  CHECK(setting.runners.orders.size() == row.sent);
  CHECK(caller.status == row.status);
  CHECK(caller.complete);
  if (row.status == 0) {
    REQUIRE(caller.refusal.has_value());
    CHECK(caller.refusal->verdict == row.verdict);
    const bool advises = caller.refusal->retryAfter > Duration(0);
    CHECK(advises == (row.verdict == Verdict::NotRun));
  }
  // No second attempt goes to the same runner.
  if (setting.runners.orders.size() == 2) {
    CHECK(setting.runners.orders[0].runner != setting.runners.orders[1].runner);
  }
}

// Guards against events that are missing, come twice, or look complete though
// the stream broke off.
SCENARIO("a stream reaches its caller whole or visibly broken")
{
  Setting setting;

  WHEN("nothing fails")
  {
    const FakeCaller caller = setting.Send("stream");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    CHECK(setting.runners.finished == 1);
  }

  WHEN("a stream that can't be resumed breaks off")
  {
    setting.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = setting.Send("stream");
    CHECK(caller.body == "1;2;");
    CHECK_FALSE(caller.complete);
    CHECK(caller.aborted);
    CHECK(setting.runners.orders.size() == 1);
  }

  WHEN("a resumable stream breaks off")
  {
    setting.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = setting.Send("resumable");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    REQUIRE(setting.runners.orders.size() == 2);
    CHECK(setting.runners.orders[1].resumeAfter == 2);
  }

  WHEN("a resumed stream is refused")
  {
    setting.runners.scripts = { Script::BreakStreamAfterTwo, Script::FailOnce };
    const FakeCaller caller = setting.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK_FALSE(caller.complete);
  }
}

// Guards against a request that crashes one runner after the other.
SCENARIO("a request crashes each runner that runs it")
{
  Setting setting;
  setting.runners.scripts = { Script::LoseAnswer };
  for (int i = 0; i < 8; ++i) {
    setting.Send("booking");
    // The runner is back as another start.
    for (const auto& runner : setting.state.fleet.All()) {
      RunnerEntry next = runner->entry;
      ++next.startedAt;
      setting.state.Apply(next, setting.time.Now());
    }
    setting.time.RunUntil(setting.time.Now() + 6s);
  }

  THEN("it reaches no runner after the third")
  {
    CHECK(setting.runners.orders.size() == kMaxDeaths);
    const FakeCaller caller = setting.Send("booking");
    CHECK(caller.refusal->reason.code == ReasonCode::Poisoned);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
  }

  THEN("other requests are served")
  {
    setting.runners.scripts = { Script::Answer };
    CHECK(setting.Send("lookup").status == 200);
  }
}

// Guards against requests that run without a right to, and against refusals of
// requests that have one.
SCENARIO("only requests that the configuration allows are forwarded")
{
  Setting setting;

  THEN("an unknown key is refused")
  {
    const FakeCaller caller = setting.Send("booking", "stolen");
    CHECK(caller.refusal->reason.code == ReasonCode::Unauthorized);
    CHECK(setting.runners.orders.empty());
  }

  THEN("an unknown path is refused")
  {
    const FakeCaller caller = setting.Send("nowhere");
    CHECK(caller.refusal->reason.code == ReasonCode::NotFound);
  }

  THEN("a revoked key is refused from the next configuration on")
  {
    RoutingConfiguration next = setting.state.Routes()->Configuration();
    next.version = 2;
    next.organisations[0].apiKeys = { "other" };
    setting.state.Apply(next, setting.time.Now());
    CHECK(setting.Send("booking").refusal->reason.code ==
          ReasonCode::Unauthorized);
    CHECK(setting.Send("booking", "other").status == 200);
  }

  THEN("an older configuration never comes back")
  {
    RoutingConfiguration older = setting.state.Routes()->Configuration();
    older.version = 0;
    older.routes.clear();
    setting.state.Apply(older, setting.time.Now());
    CHECK(setting.Send("booking").status == 200);
  }

  THEN("just after the start it waits for the configuration to be read")
  {
    EntryState fresh(Setting::Settings());
    fresh.startedAt = setting.time.Now();
    FakeRunners::Request request;
    request.facts.host = "a.example";
    request.facts.target = "/booking/7";
    request.facts.apiKey = "key";
    FakeCaller caller;
    Run run(fresh,
            setting.runners,
            setting.peers,
            setting.measures,
            setting.time,
            setting.log);
    setting.time.Spawn(run.Forward(request, caller));
    setting.time.RunUntil(setting.time.Now() + 100ms);
    CHECK_FALSE(caller.complete);
    fresh.Apply(setting.state.Routes()->Configuration(), setting.time.Now());
    for (const auto& runner : setting.state.fleet.All()) {
      fresh.Apply(runner->entry, setting.time.Now());
    }
    setting.time.RunUntilIdle(setting.time.Now() + 1s);
    CHECK(caller.status == 200);
  }

  THEN("without any configuration the caller is asked to come back")
  {
    EntryState empty(Setting::Settings());
    FakeRunners::Request request;
    FakeCaller caller;
    Run run(empty,
            setting.runners,
            setting.peers,
            setting.measures,
            setting.time,
            setting.log);
    setting.time.Spawn(run.Forward(request, caller));
    setting.time.RunUntilIdle(setting.time.Now() + 1s);
    CHECK(caller.refusal->reason.code == ReasonCode::Unavailable);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
  }
}

// Guards against requests that are held beyond their time, or given up late.
SCENARIO("a request ends in its time")
{
  Setting setting;
  const TimePoint start = setting.time.Now();

  WHEN("no runner is left")
  {
    for (const char* id : { "r-1", "r-2", "r-3" }) {
      setting.state.ApplyRemoved(UpstreamId(id), start);
    }
    const FakeCaller caller = setting.Send("booking");

    THEN("it is refused after an eighth of the target latency")
    {
      CHECK(caller.refusal->verdict == Verdict::NotRun);
      CHECK(setting.time.Now() - start <= 120ms);
    }
  }

  WHEN("the runner is silent")
  {
    setting.runners.scripts = { Script::Hang };

    THEN("it ends at the route's timeout")
    {
      const FakeCaller caller = setting.Send("booking");
      CHECK(caller.refusal->reason.code == ReasonCode::ResponseTimeout);
      CHECK(setting.time.Now() - start == 2s + 0ms);
    }

    THEN("or when the caller's patience ends, which the runner is told")
    {
      setting.patience = 500ms;
      setting.Send("booking");
      CHECK(setting.time.Now() - start == 500ms);
      CHECK(setting.runners.orders[0].timeLeft == 500ms);
    }
  }

  WHEN("the budget of repeats is used up")
  {
    while (setting.state.repeats.TrySpend(ServiceName("plain"), 1, start)) {
    }
    setting.runners.scripts = { Script::LoseAnswer, Script::Answer };

    THEN("nothing is sent again")
    {
      setting.Send("lookup");
      CHECK(setting.runners.orders.size() == 1);
    }
  }
}

// Guards against work that goes on for a caller that has left.
SCENARIO("a caller leaves")
{
  using boost::asio::experimental::awaitable_operators::operator||;
  Setting setting;
  setting.runners.scripts = { Script::Hang };
  FakeRunners::Request request;
  request.facts.id = RequestId("q-1");
  request.facts.host = "a.example";
  request.facts.target = "/booking/7";
  request.facts.apiKey = "key";
  FakeCaller caller;
  Run run(setting.state,
          setting.runners,
          setting.peers,
          setting.measures,
          setting.time,
          setting.log);
  const auto session = [&]() -> Task<void> {
    const TimePoint leavesAt = setting.time.Now() + 100ms;
    co_await (run.Forward(request, caller) || setting.time.WaitUntil(leavesAt));
  };
  setting.time.Spawn(session());
  setting.time.RunUntil(setting.time.Now() + 50ms);
  CHECK(setting.runners.open.use_count() > 1);
  setting.time.RunUntil(setting.time.Now() + 60ms);
  CHECK(setting.runners.open.use_count() == 1);
  const auto runner =
    setting.state.fleet.Find(setting.runners.orders[0].runner);
  CHECK(runner->inFlight == 0);
  // That the caller left says nothing of the runner.
  CHECK_FALSE(runner->health.IsAvoided(setting.time.Now()));
  CHECK(runner->health.FailureRate(setting.time.Now()) == 0);
  CHECK(setting.runners.orders.size() == 1);
  CHECK_FALSE(caller.refusal.has_value());
}
