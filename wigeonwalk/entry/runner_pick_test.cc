#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

// A daemon with a service of three engines.
struct EngineEntry : TestEntry
{
  EngineEntry()
  {
    RoutingConfiguration configuration = this->state.Routes()->Configuration();
    ++configuration.version;
    EngineTraits engine;
    engine.models = { kModel };
    configuration.services[0].engine = engine;
    for (Route& route : configuration.routes) {
      route.timeout = 10s;
    }
    this->state.Apply(configuration, this->time.Now());
  }

  void SetVersions(const std::vector<WeightNumber>& aVersions)
  {
    for (std::size_t i = 0; i < aVersions.size(); ++i) {
      this->state.fleet.Find(UpstreamId("r-" + std::to_string(i + 1)))
        ->SetVersion(kModel, aVersions[i]);
    }
  }

  void Publish(WeightNumber aVersion)
  {
    this->state.Apply(DesiredWeights{ kModel, aVersion }, this->time.Now());
  }

  // Finds a version in the registry's listing.
  void Find(WeightNumber aVersion)
  {
    this->state.Apply(DesiredWeights{ kModel, aVersion, 0, true },
                      this->time.Now());
  }

  void ApplyRecord(std::vector<RecordedWeights> aVersions)
  {
    this->state.Apply(WeightsRecord{ kModel, std::move(aVersions) },
                      this->time.Now());
  }

  std::optional<RunnerPick> Pick(const std::vector<UpstreamId>& aTried = {})
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
      this->state, request, admitted, aTried, {}, this->time.Now());
  }
};

// A daemon that has just started and finds weights that were published 20 s
// before, according to the registry's record.
struct Setting : EngineEntry
{
  Setting()
  {
    this->Find(2);
    this->ApplyRecord({ { 2, 9'000, this->time.Now() - 20s } });
    this->time.RunUntil(this->time.Now() + 3s);
    this->SetVersions({ 1, 1, 1 });
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
    THEN("no runner is used until one has loaded them")
    {
      CHECK_FALSE(setting.Pick());
      setting.SetVersions({ 1, 2, 1 });
      CHECK(setting.Pick());
    }
  }
}

// Guards against requests on weights that were replaced twice: only the time of
// the last replacement counted, so a second one extended their use.
SCENARIO("publishing further weights does not extend the use of older ones")
{
  EngineEntry entry;
  const TimePoint replacedAt = entry.time.Now();
  entry.Publish(2);
  entry.SetVersions({ 1, 1, 2 });
  entry.time.RunUntil(replacedAt + 8s);
  entry.Publish(3);
  const UpstreamId second("r-3");

  WHEN("the time allowed for the first replacement has passed")
  {
    entry.time.RunUntil(replacedAt + entry.state.Settings().bounds.newWeights);

    THEN("only the runner with the second version is used")
    {
      REQUIRE(entry.Pick());
      CHECK(entry.Pick()->runner->entry.id == second);
      CHECK_FALSE(entry.Pick({ second }));
    }

    AND_WHEN("the time allowed for the second replacement has passed as well")
    {
      entry.time.RunUntil(replacedAt + 8s +
                          entry.state.Settings().bounds.newWeights);
      THEN("no runner is used until one has the third version")
      {
        CHECK_FALSE(entry.Pick());
        entry.SetVersions({ 3 });
        REQUIRE(entry.Pick());
        CHECK(entry.Pick()->runner->entry.id == UpstreamId("r-1"));
      }
    }
  }
}

// Guards against requests that are sent while old weights may be used, wait at
// the runner and start to run after that time.
SCENARIO("a request on old weights may not wait longer than they may be used")
{
  EngineEntry entry;
  entry.SetVersions({ 1, 1, 1 });
  const TimePoint replacedAt = entry.time.Now();
  entry.Publish(2);
  const TimePoint unusableAt =
    replacedAt + entry.state.Settings().bounds.newWeights;

  WHEN("it is sent shortly before the end of that time")
  {
    entry.time.RunUntil(replacedAt + 9s);
    const auto pick = entry.Pick();
    REQUIRE(pick);
    THEN("the runner gets no more time than is left")
    {
      CHECK(pick->spec.timeLeft > Duration(0));
      CHECK(entry.time.Now() + pick->spec.timeLeft <= unusableAt);
    }
  }

  WHEN("its runner is full, so that it would wait there")
  {
    const auto full = entry.state.fleet.Find(UpstreamId("r-1"));
    const auto other = entry.state.fleet.Find(UpstreamId("r-2"));
    full->inFlight = full->entry.slots;
    other->inFlight = other->entry.slots;
    const std::vector<UpstreamId> tried = { UpstreamId("r-3") };
    entry.time.RunUntil(replacedAt + 5s);
    CHECK(entry.Pick(tried));
    entry.time.RunUntil(replacedAt + 9s);
    THEN("it is not sent there while little of the time is left")
    {
      CHECK_FALSE(entry.Pick(tried));
      entry.SetVersions({ 2 });
      REQUIRE(entry.Pick(tried));
      CHECK(entry.Pick(tried)->runner == full);
    }
  }

  WHEN("the runner has the new weights")
  {
    entry.SetVersions({ 2, 2, 2 });
    entry.time.RunUntil(replacedAt + 9s);
    THEN("the request has all its time")
    {
      CHECK(entry.Pick()->spec.timeLeft == 10s);
    }
  }
}

// Guards against recorded times, which come from the clocks of other hosts,
// that override what a daemon has observed or count for the wrong version.
SCENARIO("a recorded time of publication is an estimate")
{
  EngineEntry entry;
  const TimePoint start = entry.time.Now();
  const Duration limit = entry.state.Settings().bounds.newWeights;
  const UpstreamId second("r-3");
  entry.SetVersions({ 1, 1, 2 });

  GIVEN("a publication that this daemon has observed")
  {
    entry.Publish(2);
    entry.ApplyRecord({ { 2, 20, start - 1h } });
    THEN("its own time counts")
    {
      CHECK(entry.Pick({ second }));
      CHECK(entry.Pick({ second })->replacedFor == Duration(0));
    }

    AND_GIVEN("a later version that it has found, recorded as older")
    {
      entry.SetVersions({ 1, 2, 3 });
      entry.Find(3);
      entry.ApplyRecord({ { 2, 20, start - 1h }, { 3, 30, start - 1h } });
      THEN("the first weights may be used as long as before")
      {
        CHECK(entry.Pick({ second, UpstreamId("r-2") }));
        entry.time.RunUntil(start + limit);
        CHECK_FALSE(entry.Pick({ second, UpstreamId("r-2") }));
      }
    }
  }

  GIVEN("a version that it has found, recorded by a clock that is ahead")
  {
    entry.Find(2);
    entry.ApplyRecord({ { 2, 20, start + 1h } });
    THEN("the time counts from its start")
    {
      CHECK(entry.Pick({ second }));
      entry.time.RunUntil(start + limit);
      CHECK_FALSE(entry.Pick({ second }));
    }
  }

  GIVEN("two recorded versions, of which it has found the second")
  {
    entry.Find(3);
    entry.ApplyRecord({ { 2, 20, start - limit }, { 3, 30, start - 5s } });
    THEN("the first weights are not used, those between are")
    {
      CHECK(entry.Pick()->runner->entry.id == second);
      CHECK_FALSE(entry.Pick({ second }));
    }
  }

  GIVEN("a recorded version that was published shortly before")
  {
    entry.Find(2);
    entry.ApplyRecord({ { 2, 20, start - 8s } });
    THEN("a request on older weights has no more time than they have")
    {
      const auto pick = entry.Pick({ second });
      REQUIRE(pick);
      CHECK(pick->replacedFor == 8s);
      CHECK(pick->spec.timeLeft <= limit - 8s);
    }
  }
}

// Guards against a request that is given a millisecond because the weights of
// its runner are unknown.
SCENARIO("a runner with unknown weights gets the request's whole time")
{
  EngineEntry entry;
  entry.Publish(1);
  entry.time.RunUntil(entry.time.Now() +
                      entry.state.Settings().bounds.newWeights);
  const auto pick = entry.Pick();
  REQUIRE(pick);
  CHECK(pick->spec.timeLeft == 10s);
}

// Guards against a request that waits at a runner of unknown version until its
// weights may not be used any more.
SCENARIO("a request at a runner of unknown version ends in time")
{
  EngineEntry entry;
  const Duration limit = entry.state.Settings().bounds.newWeights;
  entry.Publish(1);
  entry.time.RunUntil(entry.time.Now() + 2 * limit);
  const TimePoint replacedAt = entry.time.Now();
  entry.Publish(2);
  entry.time.RunUntil(replacedAt + 9s);
  const auto pick = entry.Pick();
  REQUIRE(pick);
  REQUIRE(pick->spec.version == 0);
  CHECK(entry.time.Now() + pick->spec.timeLeft <= replacedAt + limit);
}
