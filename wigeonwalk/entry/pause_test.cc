#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <list>
#include <map>
#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const UpstreamId kFirst("r-1");
const std::vector<UpstreamId> kAll{ kFirst,
                                    UpstreamId("r-2"),
                                    UpstreamId("r-3") };

// A request and what its caller got.
struct Sent
{
  FakeRunners::Request request;
  FakeCaller caller;
};

// A daemon before three runners, whose routes wait for up to 2 s.
struct Setting : TestEntry
{
  Runner& Of(const UpstreamId& aId) { return *this->state.fleet.Find(aId); }

  // Makes a runner the best choice.
  void Prefer(const UpstreamId& aRunner)
  {
    for (const UpstreamId& id : kAll) {
      if (id != aRunner) {
        this->Of(id).health.NoteFailedAnswer(this->time.Now());
      }
    }
  }

  std::size_t SentTo(const UpstreamId& aRunner) const
  {
    return static_cast<std::size_t>(std::count_if(
      this->runners.attempts.begin(),
      this->runners.attempts.end(),
      [&](const AttemptSpec& aSpec) { return aSpec.runner == aRunner; }));
  }

  Sent& Start(const std::string& aRoute)
  {
    Sent& sent = this->started.emplace_back();
    sent.request.facts.id =
      RequestId("q-" + std::to_string(this->started.size()));
    sent.request.facts.host = "a.example";
    sent.request.facts.target = "/" + aRoute + "/7";
    sent.request.facts.apiKey = "key";
    sent.request.facts.callerTimeout = 10s;
    this->time.Spawn(this->Run(sent));
    return sent;
  }

  Task<void> Run(Sent& aSent)
  {
    TestRun run(this->state,
                this->runners,
                this->peers,
                this->measures,
                this->time,
                this->log);
    co_await run.Forward(aSent.request, aSent.caller);
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  // Starts requests together and returns how many were served at once.
  std::size_t Serve(int aCount)
  {
    std::vector<Sent*> batch;
    for (int i = 0; i < aCount; ++i) {
      batch.push_back(&this->Start("lookup"));
    }
    this->RunFor(60ms);
    return static_cast<std::size_t>(
      std::count_if(batch.begin(), batch.end(), [](const Sent* aSent) {
        return aSent->caller.status == 200;
      }));
  }

  // All runners turn the requests of this daemon away for the time given.
  void PauseAll(Duration aPause)
  {
    for (const UpstreamId& id : kAll) {
      this->runners.pauses[id] = aPause;
      this->state.Pause(this->Of(id), aPause, this->time.Now());
    }
  }

  std::list<Sent> started;
};

} // namespace

// Guards against requests to a runner within the time for which it wants none,
// which only add to the load that it turns away.
SCENARIO("a runner that asks for a pause gets no requests meanwhile")
{
  Setting entry;

  GIVEN("a runner that turns a request away")
  {
    entry.Prefer(kFirst);
    entry.runners.pauses = { { kFirst, 1'500ms } };
    const FakeCaller caller = entry.Send("booking");

    THEN("the request goes on to another one")
    {
      REQUIRE(entry.runners.attempts.size() == 2);
      CHECK(entry.runners.attempts[0].runner == kFirst);
      CHECK(caller.status == 200);
    }
    THEN("no request reaches it before the end")
    {
      const TimePoint end = entry.time.Now() + 1'450ms;
      while (entry.time.Now() < end) {
        entry.Send("lookup");
      }
      CHECK(entry.SentTo(kFirst) == 1);
      CHECK(entry.state.requestedPauses == 1);
    }
  }

  GIVEN("several answers with different times")
  {
    const TimePoint now = entry.time.Now();
    entry.state.Pause(entry.Of(kFirst), 300ms, now);
    entry.state.Pause(entry.Of(kFirst), 1s, now);
    entry.state.Pause(entry.Of(kFirst), 100ms, now);
    THEN("the latest end counts")
    {
      CHECK_FALSE(entry.Of(kFirst).TakesRequests(now + 999ms));
      CHECK(entry.Of(kFirst).TakesRequests(now + 1'400ms));
    }
  }

  GIVEN("a request that succeeds during a pause")
  {
    entry.Prefer(kFirst);
    Sent& running = entry.Start("lookup");
    entry.RunFor(5ms);
    REQUIRE(entry.SentTo(kFirst) == 1);
    entry.state.Pause(entry.Of(kFirst), 1s, entry.time.Now());
    entry.RunFor(100ms);
    REQUIRE(running.caller.status == 200);
    THEN("the pause goes on")
    {
      CHECK_FALSE(entry.Of(kFirst).TakesRequests(entry.time.Now() + 800ms));
    }
  }

  GIVEN("a time that is longer than any route waits")
  {
    const TimePoint now = entry.time.Now();
    entry.state.Pause(entry.Of(kFirst), 24h, now);
    THEN("the pause is as long as the longest route waits")
    {
      CHECK_FALSE(entry.Of(kFirst).TakesRequests(now + 1'999ms));
      CHECK(entry.Of(kFirst).TakesRequests(now + 2'400ms));
    }
  }

  GIVEN("a request that was chosen for the runner and is not sent yet")
  {
    entry.Prefer(kFirst);
    entry.runners.connectTime = 50ms;
    Sent& chosen = entry.Start("booking");
    entry.RunFor(10ms);
    entry.state.Pause(entry.Of(kFirst), 1s, entry.time.Now());
    entry.RunFor(200ms);
    THEN("it goes to another one")
    {
      CHECK(chosen.caller.status == 200);
      CHECK(entry.runners.attempts.size() == 1);
      CHECK(entry.SentTo(kFirst) == 0);
    }
  }
}

// Guards against callers that are kept waiting for runners that want no
// requests, and against all of them coming back at the same moment.
SCENARIO("a service whose runners all pause refuses at once")
{
  Setting entry;
  const TimePoint pausedAt = entry.time.Now();
  entry.PauseAll(1'500ms);

  THEN("callers learn the earliest time at which a runner may serve them")
  {
    Duration least = 1h;
    Duration most{ 0 };
    for (int i = 0; i < 100; ++i) {
      const Sent& sent = entry.Start("booking");
      entry.RunFor(0ms);
      REQUIRE(sent.caller.refusal);
      CHECK(sent.caller.refusal->verdict == Verdict::NotRun);
      least = std::min(least, sent.caller.refusal->retryAfter);
      most = std::max(most, sent.caller.refusal->retryAfter);
    }
    CHECK(entry.time.Now() == pausedAt);
    CHECK(entry.runners.attempts.empty());
    CHECK(entry.state.refusedForPause == 100);
    CHECK(least >= 1'500ms);
    CHECK(most <= 1'500ms + RequestedPause::kMaxSpread + 1s);
    CHECK(most - least >= 500ms);
  }

  THEN("a request that the last runner turns away gets the same")
  {
    for (const UpstreamId& id : kAll) {
      entry.Of(id).requestedPause = RequestedPause();
    }
    entry.Send("booking");
    const FakeCaller caller = entry.Send("booking");
    REQUIRE(caller.refusal);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
    CHECK(caller.refusal->retryAfter >= 1'400ms);
    CHECK(entry.runners.attempts.size() == 3);
  }

  THEN("a request that can be served in time waits")
  {
    entry.runners.pauses.clear();
    entry.RunFor(1'450ms);
    TimePoint first = entry.time.Now() + 1h;
    for (const UpstreamId& id : kAll) {
      first = std::min(first, entry.Of(id).requestedPause.AdmitsFrom());
    }
    entry.time.RunUntil(first - 20ms);
    const Sent& sent = entry.Start("booking");
    entry.RunFor(60ms);
    CHECK(sent.caller.status == 200);
  }

  WHEN("the pauses are over and the runners still turn requests away")
  {
    entry.RunFor(1'500ms + RequestedPause::kMaxSpread);
    entry.Serve(100);
    THEN("a few requests find out")
    {
      for (const UpstreamId& id : kAll) {
        CHECK(entry.SentTo(id) <= RequestedPause::kFirstRequests);
      }
    }
  }

  WHEN("the runners take requests again")
  {
    entry.runners.pauses.clear();
    entry.RunFor(1'500ms + RequestedPause::kMaxSpread);
    THEN("a few requests go first, and all within a second of the end")
    {
      for (int i = 0; i < 30; ++i) {
        entry.Start("lookup");
      }
      entry.RunFor(5ms);
      CHECK(entry.runners.attempts.size() ==
            kAll.size() * RequestedPause::kFirstRequests);
      entry.RunFor(60ms);
      CHECK(entry.runners.attempts.size() == 30);
      entry.time.RunUntil(pausedAt + 2'500ms);
      CHECK(entry.Serve(10) == 10);
    }
  }

  WHEN("the process is stopped for longer than the pauses")
  {
    entry.runners.pauses.clear();
    entry.RunFor(1min);
    THEN("they are over")
    {
      CHECK(entry.Serve(10) == 10);
    }
  }
}

namespace {

// Daemons before four runners that turn all requests away for six seconds and
// ask for pauses of two seconds. Each daemon decides for itself.
struct Model
{
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kPause = 2s;
  static constexpr Duration kBusy = 6s;
  static constexpr int kRunners = 4;

  explicit Model(int aDaemons)
  {
    RoutingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.timeout = 10s;
    configuration.routes = { route };
    for (int i = 0; i < aDaemons; ++i) {
      EntrySettings settings;
      settings.host = HostId("front-" + std::to_string(i));
      this->daemons.push_back(std::make_unique<EntryState>(settings));
      this->daemons.back()->Apply(configuration, TimePoint());
      for (int runner = 0; runner < kRunners; ++runner) {
        RunnerEntry entry;
        entry.id = UpstreamId("r-" + std::to_string(runner));
        entry.service = ServiceName("s");
        this->daemons.back()->Apply(entry, TimePoint());
      }
    }
    this->lastRefusals.resize(this->daemons.size());
  }

  // One request of one daemon.
  void Request(std::size_t aDaemon, Duration aTime)
  {
    const TimePoint now = TimePoint(1h) + aTime;
    EntryState& state = *this->daemons[aDaemon];
    const auto candidates = state.Candidates(ServiceName("s"), {}, now);
    if (candidates.empty()) {
      ++this->refused;
      return;
    }
    Runner& runner = *candidates[this->requests++ % candidates.size()];
    std::optional<Duration>& last =
      this->lastRefusals[aDaemon][runner.entry.id];
    this->unwanted += last && aTime > *last + 500ms && aTime < *last + kPause;
    runner.requestedPause.NoteSent(now);
    ++this->arrivals[{ runner.entry.id, aTime / 100ms }];
    if (aTime < kBusy) {
      ++this->turnedAway;
      last = aTime;
      state.Pause(runner, kPause, now);
    } else {
      runner.requestedPause.NoteTaken(now);
      ++this->served;
      this->firstServed = std::min(this->firstServed, aTime);
    }
  }

  void Run()
  {
    // Each daemon has a request every 50 ms.
    for (Duration time{ 0 }; time < 10s; time += kStep) {
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if ((static_cast<std::size_t>(time / kStep) + i) % 5 == 0) {
          this->Request(i, time);
        }
      }
    }
  }

  std::size_t MostArrivals() const
  {
    std::size_t most = 0;
    for (const auto& [interval, count] : this->arrivals) {
      const bool isReturn = interval.second >= 20 && interval.second < 60;
      most = isReturn ? std::max(most, count) : most;
    }
    return most;
  }

  std::vector<std::unique_ptr<EntryState>> daemons;
  std::vector<std::map<UpstreamId, std::optional<Duration>>> lastRefusals;
  std::map<std::pair<UpstreamId, std::int64_t>, std::size_t> arrivals;
  std::size_t requests = 0;
  std::size_t refused = 0;
  std::size_t turnedAway = 0;
  std::size_t served = 0;
  // Requests that reached a runner within its pause.
  std::size_t unwanted = 0;
  Duration firstServed = 1h;
};

} // namespace

// Guards against pauses that are kept only where daemons are few, and against a
// return of all daemons at once.
SCENARIO("daemons before a service that turns work away")
{
  const int count = GENERATE(7, 295);
  Model model(count);
  model.Run();
  const auto size = static_cast<std::size_t>(count);
  // The first pause and two more until the service takes requests again.
  constexpr std::size_t kPauses = 3;
  std::cout << "pauses: " << count << " daemons, " << model.turnedAway
            << " requests turned away, " << model.unwanted
            << " within a pause, " << model.refused << " refused, "
            << model.served << " served, at most " << model.MostArrivals()
            << " at a runner in 100 ms after a pause, telling would take "
            << kPauses * Model::kRunners * (size - 1) << " messages\n";
  CHECK(model.unwanted == 0);
  CHECK(model.turnedAway <=
        size * Model::kRunners * kPauses * RequestedPause::kFirstRequests);
  // The returns are spread over 400 ms.
  CHECK(model.MostArrivals() <= size * RequestedPause::kFirstRequests / 2);
  CHECK(model.firstServed <= Model::kBusy + Model::kPause + 1s);
  CHECK(model.served > 0);
}
