#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against streams with lost or duplicate events, and against broken
// streams that look complete to the caller.
SCENARIO("a stream reaches its caller complete or is visibly aborted")
{
  TestEntry entry;

  WHEN("nothing fails")
  {
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    CHECK(entry.runners.finished == 1);
  }

  WHEN("a stream that can't be resumed breaks off")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;");
    CHECK_FALSE(caller.complete);
    CHECK(caller.aborted);
    CHECK(entry.runners.attempts.size() == 1);
  }

  WHEN("a resumable stream breaks off")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    REQUIRE(entry.runners.attempts.size() == 2);
    CHECK(entry.runners.attempts[1].resumeAfter == 2);
  }

  WHEN("a resumed stream is refused")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo,
                              Script::ServerError };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK_FALSE(caller.complete);
  }

  WHEN("the response to a resumed stream is not an event stream")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo,
                              Script::AnswerWhole };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK_FALSE(caller.complete);
  }

  WHEN("a service without engine traits streams a request with a prompt")
  {
    entry.prompt = Prompt{ ModelName("m"), 16, 4, { { "p-1", 16 } } };
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    // Without engine traits no runner is assumed to cache parts.
    CHECK(entry.state.parts.Parts() == 0);
  }
}

// Guards against a runner that is never given the newest weights, and refuses
// all requests, because it is taken to have them since a refusal.
SCENARIO("the weights of a runner that refused a request for other weights")
{
  TestEntry entry;
  const ModelName model("m");
  RoutingConfiguration configuration = entry.state.Routes()->Configuration();
  ++configuration.version;
  configuration.services[0].engine = EngineTraits{};
  entry.state.Apply(configuration, entry.time.Now());
  std::vector<RunnerEntry> heartbeats;
  for (const auto& runner : entry.state.fleet.All()) {
    runner->SetVersion(model, 1);
    heartbeats.push_back(runner->entry);
  }
  entry.state.Apply(DesiredWeights{ model, 3 }, entry.time.Now());
  entry.prompt = Prompt{ model, 16, 4, { { "p-1", 16 } } };
  entry.runners.scripts = { Script::SecondWeights, Script::Answer };
  entry.Send("lookup");
  REQUIRE(entry.runners.attempts.size() == 2);
  const UpstreamId refused = entry.runners.attempts[0].runner;

  THEN("it counts as having the version that it named")
  {
    CHECK(entry.state.fleet.Find(refused)->VersionOf(model) == 2);
  }

  WHEN("its next heartbeat says that it has the second of three versions")
  {
    for (RunnerEntry& heartbeat : heartbeats) {
      if (heartbeat.id == refused) {
        heartbeat.models = { { model, 2 } };
        entry.state.Apply(heartbeat, entry.time.Now());
      }
    }
    THEN("it counts as having that version")
    {
      CHECK(entry.state.fleet.Find(refused)->VersionOf(model) == 2);
    }
  }
}

// Guards against callers that make a daemon remember each model they name.
SCENARIO("a runner refuses requests for models that nobody has published")
{
  TestEntry entry;
  entry.runners.scripts = { Script::SecondWeights };
  constexpr int kModels = 20;
  for (int i = 0; i < kModels; ++i) {
    entry.prompt =
      Prompt{ ModelName("odd-" + std::to_string(i)), 16, 4, { { "p-1", 16 } } };
    entry.content = i;
    entry.Send("lookup");
  }
  REQUIRE(entry.runners.attempts.size() >= kModels);
  for (const auto& runner : entry.state.fleet.All()) {
    CHECK(runner->entry.models.empty());
  }
}

// Guards against answers on replaced weights that leave no trace in the logs.
SCENARIO("an answer on old weights is counted")
{
  struct Row
  {
    WeightNumber answered;
    Duration after;
    std::uint64_t counted;
  };
  const Row row = GENERATE(Row{ 2, 1s, 0 },
                           Row{ 1, 1s, 1 },
                           Row{ 2, 11'900ms, 0 },
                           Row{ 2, 12'100ms, 1 },
                           Row{ 3, 12'100ms, 0 });
  CAPTURE(row.answered, row.after.count());
  TestEntry entry;
  const ModelName model("m");
  for (const auto& runner : entry.state.fleet.All()) {
    runner->SetVersion(model, 2);
  }
  entry.state.Apply(DesiredWeights{ model, 2 }, entry.time.Now() - 1h);
  entry.state.Apply(DesiredWeights{ model, 3 }, entry.time.Now() - row.after);
  entry.prompt = Prompt{ model, 16, 4, { { "p-1", 16 } } };
  entry.runners.answeredWeights = row.answered;
  entry.Send("lookup");
  CHECK(entry.state.answersOnOldWeights == row.counted);
}
