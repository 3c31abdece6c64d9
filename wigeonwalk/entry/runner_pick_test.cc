#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

// A daemon that has just started and finds weights that were published 20 s
// before, with 60 changes of the registry a second.
struct Setting : TestEntry
{
  Setting()
  {
    RoutingConfiguration configuration = this->state.Routes()->Configuration();
    ++configuration.version;
    EngineTraits engine;
    engine.models = { kModel };
    configuration.services[0].engine = engine;
    this->state.Apply(configuration, this->time.Now());
    this->state.Apply(DesiredWeights{ kModel, 2, 10'000 - 20 * 60 },
                      this->time.Now());
    this->state.revisionClock.Note(10'000, this->time.Now());
    this->time.RunUntil(this->time.Now() + 3s);
    this->state.revisionClock.Note(10'180, this->time.Now());
    this->SetVersions({ 1, 1, 1 });
  }

  void SetVersions(const std::vector<WeightNumber>& aVersions)
  {
    for (std::size_t i = 0; i < aVersions.size(); ++i) {
      this->state.fleet.Find(UpstreamId("r-" + std::to_string(i + 1)))
        ->SetVersion(kModel, aVersions[i]);
    }
  }

  std::optional<RunnerPick> Pick()
  {
    EntryRequest request;
    request.id = RequestId("q");
    request.host = "a.example";
    request.target = "/stream/7";
    request.apiKey = "key";
    request.prompt = Prompt{ kModel, 300, 20, { { "own", 300 } } };
    AdmittedRequest admitted;
    FailureReason reason;
    REQUIRE(
      AdmitRequest(this->state, request, this->time.Now(), admitted, reason));
    return PickRunner(
      this->state, request, admitted, {}, RoomRule::Ignored, this->time.Now());
  }
};

} // namespace

// Guards against requests on old weights long after new ones were published,
// because the daemon has restarted since.
SCENARIO("a daemon that has restarted knows how old the newest weights are")
{
  Setting setting;

  WHEN("some runners have the newest weights")
  {
    setting.SetVersions({ 1, 2, 1 });
    // The old ones are faster.
    setting.state.fleet.Find(UpstreamId("r-2"))->inFlight = 3;

    THEN("only they are used")
    {
      CHECK(setting.Pick()->runner->entry.id == UpstreamId("r-2"));
    }
  }

  WHEN("no runner has them yet")
  {
    THEN("the estimate does not stop the service")
    {
      CHECK(setting.Pick().has_value());
    }

    AND_WHEN("the time has passed since the start as well")
    {
      setting.time.RunUntil(setting.time.Now() + 12s);
      THEN("no runner is used")
      {
        CHECK_FALSE(setting.Pick());
      }
    }
  }
}
