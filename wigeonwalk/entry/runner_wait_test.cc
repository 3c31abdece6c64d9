#include "wigeonwalk/entry/runner_wait.h"
#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRunnerTokens = 40'000;

// A daemon before two model runners with memory for three large prompts each.
struct Setting : TestEntry
{
  Setting()
  {
    RoutingConfiguration configuration = this->state.Routes()->Configuration();
    ++configuration.version;
    EngineTraits engine;
    engine.slots = 64;
    engine.cacheTokens = kRunnerTokens;
    engine.models = { ModelName("m") };
    configuration.services[0].engine = engine;
    this->state.Apply(configuration, this->time.Now());
    this->state.ApplyRemoved(UpstreamId("r-3"), this->time.Now());
  }

  // Starts a search and records how it ended.
  struct Search
  {
    EntryRequest request;
    AdmittedRequest admitted;
    std::vector<UpstreamId> tried;
    std::optional<RunnerPick> pick;
    std::unique_ptr<RunnerLoad> load;
    SearchFailure failure;
    TimePoint startedAt;
    std::optional<TimePoint> endedAt;
  };

  std::shared_ptr<Search> Start(std::uint32_t aTokens,
                                std::uint32_t aMaxOutputTokens = 0)
  {
    auto search = std::make_shared<Search>();
    search->request.id = RequestId("q-" + std::to_string(++this->started));
    search->request.host = "a.example";
    search->request.target = "/stream/" + std::to_string(this->started);
    search->request.apiKey = "key";
    search->request.callerTimeout = 10s;
    search->request.prompt = Prompt{
      ModelName("m"), aTokens, aMaxOutputTokens, { { "own", aTokens } }
    };
    FailureReason reason;
    search->startedAt = this->time.Now();
    REQUIRE(AdmitRequest(this->state,
                         search->request,
                         this->time.Now(),
                         search->admitted,
                         reason));
    this->time.Spawn(this->Run(search));
    this->time.RunUntil(this->time.Now());
    return search;
  }

  Task<void> Run(std::shared_ptr<Search> aSearch)
  {
    RunnerWait<VirtualTime> wait(this->state, this->time);
    const RunnerSearch search{
      aSearch->request, aSearch->admitted, aSearch->tried, aSearch->startedAt
    };
    aSearch->pick = co_await wait.Find(search, aSearch->failure);
    aSearch->endedAt = this->time.Now();
    if (aSearch->pick) {
      aSearch->load = std::make_unique<RunnerLoad>(
        aSearch->pick->runner, aSearch->admitted.memoryTokens, 0);
    }
  }

  int started = 0;
};

} // namespace

// Guards against large prompts that are sent to full runners, where they are
// preempted, and against refusals while a runner has room.
SCENARIO("a large prompt waits for memory and is refused if it would be late")
{
  Setting setting;
  std::vector<std::shared_ptr<Setting::Search>> running;
  for (int i = 0; i < 4; ++i) {
    running.push_back(setting.Start(12'000));
    REQUIRE(running.back()->pick);
    CHECK(running.back()->endedAt == running.back()->startedAt);
  }

  GIVEN("runners that are full")
  {
    const auto waiting = setting.Start(12'000);
    CHECK_FALSE(waiting->endedAt);

    WHEN("a run ends in time")
    {
      setting.time.RunUntil(setting.time.Now() + 200ms);
      const UpstreamId released = running[1]->pick->runner->entry.id;
      running[1]->load.reset();
      setting.time.RunUntil(setting.time.Now() + 50ms);

      THEN("the prompt is sent there")
      {
        REQUIRE(waiting->pick);
        CHECK(waiting->pick->runner->entry.id == released);
      }
    }

    WHEN("none ends in half of the route's target latency of 800 ms")
    {
      setting.time.RunUntil(setting.time.Now() + 400ms);

      THEN("the prompt is refused with a time to return")
      {
        REQUIRE(waiting->endedAt);
        CHECK_FALSE(waiting->pick);
        CHECK(waiting->failure.reason.code == ReasonCode::Overloaded);
        CHECK(waiting->failure.retryAfter > 0ms);
      }
    }

    THEN("a small prompt is sent at once")
    {
      CHECK(setting.Start(300)->pick);
    }

    THEN("small prompts are sent to a full runner after a short wait")
    {
      for (const auto& runner : setting.state.fleet.All()) {
        runner->othersTokensInFlight = kRunnerTokens;
      }
      const auto small = setting.Start(300);
      CHECK_FALSE(small->endedAt);
      setting.time.RunUntil(setting.time.Now() + 100ms);
      CHECK(small->pick);
    }
  }

  GIVEN("prompts that wait at most of the other daemons")
  {
    for (int i = 0; i < 79; ++i) {
      const HostId host("front-" + std::to_string(i));
      setting.state.Apply(EntryMember{ host, AvailabilityZone("north"), "" },
                          setting.time.Now());
    }
    Contention& contention =
      setting.state.QueueOf(ServiceName("plain"))->contention;
    CHECK(setting.state.DaemonsWaiting(setting.time.Now()) == 0);
    while (contention.Share(setting.time.Now()) < 0.9) {
      contention.NoteWaiting(setting.time.Now());
      setting.time.RunUntil(setting.time.Now() + Contention::kLookInterval);
    }

    CHECK(setting.state.DaemonsWaiting(setting.time.Now()) > 70);

    WHEN("a run ends")
    {
      running[1]->load.reset();

      THEN("few of many daemons take its place at once")
      {
        int taken = 0;
        for (int i = 0; i < 100; ++i) {
          const auto search = setting.Start(12'000);
          taken += search->pick ? 1 : 0;
          search->load.reset();
          contention.NoteWaiting(setting.time.Now());
          setting.time.RunUntil(setting.time.Now() + Contention::kLookInterval);
        }
        CHECK(taken > 0);
        CHECK(taken < 20);
      }

      THEN("a small prompt takes it")
      {
        CHECK(setting.Start(300)->pick);
      }
    }
  }

  GIVEN("runs that end slowly, and a backlog")
  {
    const auto queue = setting.state.QueueOf(ServiceName("plain"));
    for (int i = 0; i < 4; ++i) {
      queue->NoteReleased(12'000, setting.time.Now());
    }
    std::vector<std::shared_ptr<Setting::Search>> waiting;
    for (int i = 0; i < 3; ++i) {
      waiting.push_back(setting.Start(12'000));
    }

    THEN("a prompt that can't be placed in time is refused at once")
    {
      CHECK_FALSE(waiting.back()->pick);
      CHECK(waiting.back()->endedAt == waiting.back()->startedAt);
      CHECK(waiting.back()->failure.reason.code == ReasonCode::Overloaded);
    }

    THEN("the next prompt is sent as soon as a runner has room")
    {
      running[0]->load.reset();
      setting.time.RunUntil(setting.time.Now() + 1s);
      CHECK(setting.Start(12'000)->pick);
    }
  }

  GIVEN("no runner that can be used")
  {
    for (const auto& runner : setting.state.fleet.All()) {
      runner->pausedUntil = setting.time.Now() + 10s;
    }
    const auto waiting = setting.Start(12'000);
    setting.time.RunUntil(setting.time.Now() + 1s);
    THEN("the reason is not overload")
    {
      CHECK_FALSE(waiting->pick);
      CHECK(waiting->failure.reason.code == ReasonCode::Unavailable);
    }
  }
}

// Guards against callers that shut out others by the numbers that they claim.
SCENARIO("a caller claims more memory than a runner has")
{
  constexpr std::uint32_t kEndless = 4'000'000'000;
  Setting setting;

  WHEN("its prompt exceeds the memory")
  {
    EntryRequest request;
    request.host = "a.example";
    request.target = "/stream/7";
    request.apiKey = "key";
    request.prompt = Prompt{ ModelName("m"), kRunnerTokens + 1, 0, {} };
    AdmittedRequest admitted;
    FailureReason reason;

    THEN("it is refused at once")
    {
      CHECK_FALSE(AdmitRequest(
        setting.state, request, setting.time.Now(), admitted, reason));
      CHECK(reason.code == ReasonCode::Overloaded);
    }
  }

  WHEN("its answer might exceed it")
  {
    const auto claiming = setting.Start(100, kEndless);
    REQUIRE(claiming->pick);

    THEN("it counts as one runner's memory")
    {
      CHECK(claiming->admitted.memoryTokens == kRunnerTokens);
      CHECK(claiming->pick->runner->tokensInFlight == kRunnerTokens);
      const auto other = setting.Start(12'000);
      REQUIRE(other->pick);
      CHECK(other->pick->runner != claiming->pick->runner);
    }

    THEN("a large prompt that waits behind more of them is not refused for it")
    {
      const auto second = setting.Start(100, kEndless);
      REQUIRE(second->pick);
      const auto third = setting.Start(100, kEndless);
      const auto queue = setting.state.QueueOf(ServiceName("plain"));
      for (int i = 0; i < 32; ++i) {
        queue->NoteReleased(kRunnerTokens, setting.time.Now());
      }
      const auto ordinary = setting.Start(12'000);
      CHECK_FALSE(ordinary->endedAt);
    }
  }
}
