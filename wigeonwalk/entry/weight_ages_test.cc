#include "wigeonwalk/entry/weight_ages.h"

#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

// Largest difference from the true time of a publication: the interval at which
// daemons ask readers, and the duration of a call.
constexpr Duration kTolerance = 1s;

// Daemons that may be restarted.
struct Daemons
{
  explicit Daemons(int aDaemons)
    : service(time)
    , network(time, 7)
    , daemons(aDaemons)
  {
    this->service.Store("config", "1");
    this->service.Store("weights/m", "1");
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->service.Store("members/" + Host(i), "peer-" + Host(i));
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->Restart(i);
    }
    this->RunFor(20s);
  }

  static std::string Host(std::size_t aDaemon)
  {
    return "front-" + std::to_string(aDaemon);
  }

  RegistryDaemon& Restart(std::size_t aDaemon)
  {
    // The tasks of a stopped daemon still run, without effect on its endpoint.
    if (this->daemons[aDaemon] != nullptr) {
      this->stopped.push_back(std::move(this->daemons[aDaemon]));
    }
    this->daemons[aDaemon] = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, Host(aDaemon));
    return *this->daemons[aDaemon];
  }

  TimePoint Publish(const std::string& aVersion)
  {
    this->service.Store("weights/m", aVersion);
    return this->time.Now();
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  // Calls that one daemon has sent to others.
  std::uint64_t CallsOf(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon]->endpoint.sent.calls;
  }

  // Returns by how much later than `aPublishedAt` the daemon counts the
  // replacement of a version; the largest duration if it knows of none.
  Duration Lateness(std::size_t aDaemon,
                    WeightNumber aReplaced,
                    TimePoint aPublishedAt) const
  {
    const auto replacedAt =
      this->daemons[aDaemon]->state.WeightsOf(kModel).ReplacedAt(aReplaced);
    return replacedAt ? *replacedAt - aPublishedAt : Duration::max();
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<RegistryDaemon>> stopped;
  std::vector<std::unique_ptr<RegistryDaemon>> daemons;
};

// Removes the ages from an answer, as a daemon of an earlier release sends it.
PeerAnswer
WithoutAges(PeerAnswer aAnswer)
{
  auto& payload = std::get<ForwardedAnswer>(aAnswer.body).payload;
  payload = payload.substr(0, payload.find("\n*"));
  return aAnswer;
}

} // namespace

// Guards against requests on weights that were replaced long ago, from a daemon
// that was restarted since: the registry lists only the newest version, and the
// daemon counted the time of all older ones from its own start.
SCENARIO("a restarted daemon learns from others when weights were published")
{
  // In the larger zone only some daemons read the registry.
  const int daemons = GENERATE(3, 8);
  CAPTURE(daemons);
  Daemons fleet(daemons);
  const TimePoint second = fleet.Publish("2");
  fleet.RunFor(6'500ms);
  const TimePoint third = fleet.Publish("3");
  fleet.RunFor(1'500ms);

  WHEN("it is restarted beside others that were running all the time")
  {
    fleet.Restart(0);
    fleet.RunFor(600ms);

    THEN("it knows since when each version is replaced")
    {
      CHECK(fleet.Lateness(0, 1, second) <= kTolerance);
      CHECK(fleet.Lateness(0, 2, third) <= kTolerance);
      CHECK(fleet.Lateness(0, 1, second) >= Duration(0));
      CHECK(fleet.Lateness(0, 2, third) >= Duration(0));
    }

    AND_WHEN("the ages have been passed on by daemons restarted in turn")
    {
      for (int i = 1; i < daemons; ++i) {
        fleet.Restart(i);
        fleet.RunFor(300ms);
      }
      THEN("they have not grown")
      {
        CHECK(fleet.Lateness(daemons - 1, 1, second) <= kTolerance);
        CHECK(fleet.Lateness(daemons - 1, 1, second) >= Duration(0));
      }
    }
  }

  WHEN("all but one are restarted at once")
  {
    for (int i = 1; i < daemons; ++i) {
      fleet.Restart(i);
    }
    fleet.RunFor(2s);

    THEN("all know since when each version is replaced")
    {
      for (int i = 0; i < daemons; ++i) {
        CHECK(fleet.Lateness(i, 1, second) <= kTolerance);
        CHECK(fleet.Lateness(i, 2, third) <= kTolerance);
      }
    }
  }

  WHEN("some hosts are dead and still listed as members")
  {
    fleet.daemons[1]->endpoint.alive = false;
    fleet.Restart(0);
    fleet.RunFor(2s);

    THEN("it asks the next one")
    {
      CHECK(fleet.Lateness(0, 1, second) <= kTolerance);
    }
  }

  WHEN("the others were themselves restarted before the last publication")
  {
    for (int i = 1; i < daemons; ++i) {
      fleet.Restart(i);
      fleet.RunFor(300ms);
    }
    const TimePoint fourth = fleet.Publish("4");
    fleet.RunFor(1s);
    fleet.Restart(0);
    fleet.RunFor(600ms);

    THEN("it knows of the publications before and after that")
    {
      CHECK(fleet.Lateness(0, 1, second) <= kTolerance);
      CHECK(fleet.Lateness(0, 3, fourth) <= kTolerance);
    }
  }

  WHEN("no other daemon can be reached")
  {
    for (int i = 1; i < daemons; ++i) {
      fleet.daemons[i]->endpoint.alive = false;
    }
    const TimePoint restartedAt = fleet.time.Now();
    fleet.Restart(0);
    const auto before = fleet.CallsOf(0);
    fleet.RunFor(20s);

    THEN("it counts from its start")
    {
      CHECK(fleet.Lateness(0, 1, restartedAt) <= kTolerance);
    }
    THEN("it asks for a limited time")
    {
      using Relay = RegistryDaemon::Relay;
      const Duration newWeights =
        fleet.daemons[0]->state.Settings().bounds.newWeights;
      const auto most =
        Relay::kLearnTime / Relay::kLearnInterval +
        (newWeights - Relay::kLearnTime) / Relay::kSlowLearnInterval + 1;
      // In the larger zone it also asks the readers, three times in 1.5 s.
      const auto calls = fleet.CallsOf(0);
      CHECK(
        (daemons > 3 || calls - before <= static_cast<std::uint64_t>(most)));
      fleet.RunFor(20s);
      CHECK((daemons > 3 || fleet.CallsOf(0) == calls));
    }
  }

  WHEN("the others are of an earlier release, whose answers have no ages")
  {
    fleet.network.transcodeAnswer = [](const PeerAnswer& aAnswer,
                                       std::uint64_t&) {
      return WithoutAges(aAnswer);
    };
    const TimePoint restartedAt = fleet.time.Now();
    fleet.Restart(0);
    fleet.RunFor(3s);
    THEN("it counts from its start")
    {
      CHECK(fleet.daemons[0]->Version() == 1);
      CHECK(fleet.Lateness(0, 1, restartedAt) <= kTolerance);
    }
  }
}

// Guards against a daemon that takes weights for new ones because it was cut
// off while they were published.
SCENARIO("a daemon that was cut off learns when weights were published")
{
  const int daemons = GENERATE(3, 8);
  CAPTURE(daemons);
  Daemons fleet(daemons);
  RegistryDaemon& daemon = *fleet.daemons[0];
  const TimePoint healedAt = fleet.time.Now() + 8s;
  daemon.service.AddLinkFault({ .fault = KeyValueFault::Silent,
                                .from = fleet.time.Now(),
                                .until = healedAt });
  fleet.network.Add("peer-front-0", "cut off");
  fleet.network.SetCut("cut off", "north", true);
  // The calls that wait for changes have timed out.
  fleet.RunFor(3s);
  const TimePoint second = fleet.Publish("2");
  fleet.RunFor(4s);
  const TimePoint third = fleet.Publish("3");
  fleet.time.RunUntil(healedAt);
  REQUIRE(daemon.state.WeightsOf(kModel).Newest().version == 1);

  WHEN("it is connected again")
  {
    fleet.network.SetCut("cut off", "north", false);
    fleet.RunFor(2'500ms);
    THEN("it knows since when each version is replaced")
    {
      CHECK(fleet.Lateness(0, 1, second) <= kTolerance);
      CHECK(fleet.Lateness(0, 2, third) <= kTolerance);
    }
  }
}

// Guards against calls between daemons at each publication.
SCENARIO("daemons that watch the registry ask nobody for ages of weights")
{
  Daemons fleet(3);
  const auto before = fleet.CallsOf(0);
  fleet.Publish("2");
  fleet.RunFor(30s);
  fleet.Publish("3");
  fleet.RunFor(1s);
  CHECK(fleet.CallsOf(0) == before);
  CHECK(KnowsAgesOfWeights(fleet.daemons[0]->state, fleet.time.Now()));
}

// Guards against ages that stop the service, or messages without bound, because
// another daemon sends wrong ones.
SCENARIO("reported ages are limited")
{
  const TimePoint now(24h);
  EntryState state(MakeSettings("front-1"));
  const Duration limit = state.Settings().bounds.newWeights;
  state.Apply(DesiredWeights{ kModel, 2, 20, true }, now);
  CHECK_FALSE(KnowsAgesOfWeights(state, now));

  GIVEN("an age below zero or beyond any time")
  {
    const Duration age =
      GENERATE(Duration::min(), Duration(-1s), Duration::max());
    LearnAges(state, { { kModel, 2, 20, age, false } }, now);
    THEN("it counts as none, or as the time for the use of replaced weights")
    {
      const TimePoint since = *state.WeightsOf(kModel).ReplacedAt(1);
      CHECK(since == (age < Duration(0) ? now : now - limit));
      CHECK(KnowsAgesOfWeights(state, now));
    }
  }

  GIVEN("an age that may be too low")
  {
    CHECK(LearnAges(state, { { kModel, 2, 20, 3s, true } }, now).size() == 1);
    THEN("it counts, and others are asked as well")
    {
      CHECK(state.WeightsOf(kModel).ReplacedAt(1) == now - 3s);
      CHECK_FALSE(KnowsAgesOfWeights(state, now));
    }
  }

  GIVEN("versions that were published long ago")
  {
    const TimePoint later = now + 2 * limit;
    state.Apply(DesiredWeights{ kModel, 3, 30, false }, now + 1s);
    state.Apply(DesiredWeights{ kModel, 4, 40, false }, later);
    THEN("only the newest of them is reported, with the limit as its age")
    {
      const auto ages = AgesOfWeights(state, later);
      REQUIRE(ages.size() == 2);
      CHECK(ages[0] == WeightsAge{ kModel, 3, 30, limit, false });
      CHECK(ages[1] == WeightsAge{ kModel, 4, 40, 0s, false });
      CHECK(AgesOfWeightsAfter(state, 30, later).size() == 1);
    }
  }

  GIVEN("more models than fit into one message")
  {
    for (std::size_t i = 0; i < 2 * kMaxWeightAges; ++i) {
      const ModelName model("model-" + std::to_string(i));
      state.Apply(DesiredWeights{ model, 2, 20, false }, now);
    }
    CHECK(AgesOfWeights(state, now).size() == kMaxWeightAges);
  }
}

// Guards against a daemon that stops asking for ages before the others, which
// were paused, can answer.
SCENARIO("a restarted daemon learns ages from others that answer late")
{
  const int daemons = GENERATE(3, 8);
  CAPTURE(daemons);
  Daemons fleet(daemons);
  const TimePoint second = fleet.Publish("2");
  fleet.RunFor(5s);
  for (int i = 1; i < daemons; ++i) {
    fleet.daemons[i]->endpoint.alive = false;
  }
  fleet.Restart(0);
  fleet.RunFor(2'500ms);
  for (int i = 1; i < daemons; ++i) {
    fleet.daemons[i]->endpoint.alive = true;
  }
  fleet.RunFor(1s);
  CHECK(fleet.Lateness(0, 1, second) <= kTolerance);
}
