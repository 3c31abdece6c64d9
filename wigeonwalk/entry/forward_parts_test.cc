#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a part of prompts that crashes one runner after another,
// because no two of the requests that hold it are alike.
SCENARIO("requests that share a part of their prompts crash runners")
{
  TestEntry entry;
  entry.runners.scripts = { Script::LoseAnswer };
  const auto send = [&entry](const char* aRoute,
                             std::vector<PromptPart> aParts) {
    const std::string own = "own-" + std::to_string(++entry.content);
    aParts.push_back({ own, 80 });
    entry.prompt = Prompt{ ModelName("m"), 330, 50, std::move(aParts) };
    return entry.Send(aRoute);
  };
  for (int i = 0; i < 8; ++i) {
    const std::string first = i % 2 == 0 ? "first" : "other";
    send("booking", { { first, 200 }, { "crashing", 50 } });
    // Each runner registers again with a new start time.
    for (const auto& runner : entry.state.fleet.All()) {
      RunnerEntry next = runner->entry;
      ++next.startedAt;
      entry.state.Apply(next, entry.time.Now());
    }
    entry.time.RunUntil(entry.time.Now() + 6s);
  }

  THEN("they reach no further runner after the third")
  {
    CHECK(entry.runners.attempts.size() == 3);
    const FakeCaller caller = send("booking", { { "crashing", 50 } });
    CHECK(caller.refusal->reason.code == ReasonCode::Poisoned);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
    CHECK(caller.refusal->retryAfter >= 1min);
  }

  THEN("requests that share only their other parts are served")
  {
    entry.runners.scripts = { Script::Answer };
    CHECK(send("lookup", { { "first", 200 } }).status == 200);
    CHECK(send("stream", { { "other", 200 } }).status == 200);
    CHECK(send("lookup", { { "crashing", 50 } }).status == 0);
  }

  THEN("other parts with the same name of another model are served")
  {
    entry.runners.scripts = { Script::Answer };
    entry.prompt = Prompt{
      ModelName("other"), 330, 50, { { "crashing", 50 }, { "own", 80 } }
    };
    CHECK(entry.Send("lookup").status == 200);
  }
}

// Guards against runners that look full because the end of a run is not told.
SCENARIO("other daemons are told of each long prompt's start and end")
{
  TestEntry entry;
  RoutingConfiguration configuration = entry.state.Routes()->Configuration();
  ++configuration.version;
  EngineTraits engine;
  engine.slots = 64;
  engine.cacheTokens = 80'000;
  engine.models = { ModelName("m") };
  configuration.services[0].engine = engine;
  entry.state.Apply(configuration, entry.time.Now());
  entry.prompt = Prompt{ ModelName("m"), 17'060, 24, { { "own", 17'060 } } };

  GIVEN("an answer")
  {
    entry.runners.scripts = { Script::Answer };
    CHECK(entry.Send("lookup").status == 200);
    REQUIRE(entry.peers.work.size() == 2);
    CHECK(entry.peers.work[0].tokensToPrefill == 17'060);
    CHECK(entry.peers.work[0].atRunner == LongPrompts{ 1, 17'084 });
    CHECK(entry.peers.work[1].tokensToPrefill == 0);
    CHECK(entry.peers.work[1].atRunner == LongPrompts{});
  }

  GIVEN("a runner that fails and another one that answers")
  {
    entry.runners.scripts = { Script::RefuseWithoutRunning, Script::Answer };
    CHECK(entry.Send("lookup").status == 200);
    REQUIRE(entry.peers.work.size() == 4);
    CHECK(entry.peers.work[1].runner == entry.peers.work[0].runner);
    CHECK(entry.peers.work[1].atRunner == LongPrompts{});
    CHECK(entry.peers.work[3].atRunner == LongPrompts{});
  }

  GIVEN("a short prompt")
  {
    entry.prompt = Prompt{ ModelName("m"), 300, 24, { { "own", 300 } } };
    CHECK(entry.Send("lookup").status == 200);
    CHECK(entry.peers.work.empty());
  }
}

// Guards against a further runner that crashes because the evidence arrives
// while a request waits for a place.
SCENARIO("evidence arrives while a request waits for a runner")
{
  TestEntry entry;
  const auto runners = entry.state.fleet.All();
  for (const auto& runner : runners) {
    entry.state.ApplyRemoved(runner->entry.id, entry.time.Now());
  }
  FakeRunners::Request request;
  request.facts.host = "a.example";
  request.facts.target = "/booking/7";
  request.facts.apiKey = "key";
  request.facts.prompt =
    Prompt{ ModelName("m"), 330, 50, { { "crashing", 50 }, { "own", 80 } } };
  FakeCaller caller;
  TestRun run(entry.state,
              entry.runners,
              entry.peers,
              entry.measures,
              entry.time,
              entry.log);
  entry.time.Spawn(run.Forward(request, caller));
  entry.time.RunUntil(entry.time.Now() + 30ms);
  const std::vector<SharedPart> parts{ { HashOfPart(ModelName("m"), "crashing"),
                                         1 } };
  for (std::uint64_t i = 0; i < PartCrashTracker::kMaxPartCrashes; ++i) {
    const TimePoint at = entry.time.Now() - 3s + i * 1s;
    entry.state.partCrashes.RecordLost(
      { parts, i, UpstreamId("r-1"), i, at - 500ms }, at);
  }
  for (const auto& runner : runners) {
    RunnerEntry next = runner->entry;
    ++next.startedAt;
    entry.state.Apply(next, entry.time.Now());
  }
  entry.time.RunUntilIdle(entry.time.Now() + 1s);
  CHECK(entry.runners.attempts.empty());
  REQUIRE(caller.refusal.has_value());
  CHECK(caller.refusal->reason.code == ReasonCode::Poisoned);
}
