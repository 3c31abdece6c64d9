#include "wigeonwalk/entry/test_entry.h"
#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const AvailabilityZone kNorth("north");
const AvailabilityZone kSouth("south");

// A daemon before two runners in the north and one in the south.
struct Setting : TestEntry
{
  Setting()
  {
    RunnerEntry south;
    south.id = UpstreamId("r-3");
    south.service = ServiceName("plain");
    south.address = "r-3";
    south.zone = kSouth;
    south.slots = 4;
    this->state.Apply(south, this->time.Now());
  }

  void TakeOut(const AvailabilityZone& aZone)
  {
    this->state.Apply(ZoneOrder{ aZone }, this->time.Now());
  }

  std::size_t SentToZone(const AvailabilityZone& aZone) const
  {
    return std::count_if(
      this->runners.attempts.begin(),
      this->runners.attempts.end(),
      [&](const AttemptSpec& aSpec) {
        return this->state.fleet.Find(aSpec.runner)->entry.zone == aZone;
      });
  }

  Task<void> Run(const FakeRunners::Request& aRequest, FakeCaller& aCaller)
  {
    TestRun run(this->state,
                this->runners,
                this->peers,
                this->measures,
                this->time,
                this->log);
    co_await run.Forward(aRequest, aCaller);
  }
};

FakeRunners::Request
LookupRequest()
{
  FakeRunners::Request request;
  request.facts.id = RequestId("q-1");
  request.facts.host = "a.example";
  request.facts.target = "/lookup/7";
  request.facts.apiKey = "key";
  request.facts.callerTimeout = 10s;
  return request;
}

// Two daemons of a zone and the registry that both watch.
struct Watched
{
  Watched()
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("runners/r-1", "ready 100");
    this->service.Store("members/front-1", "peer-front-1");
    this->service.Store("members/front-2", "peer-front-2");
    this->one = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-1");
    this->two = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-2");
    this->RunFor(3s);
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  void Erase(const std::string& aKey)
  {
    this->time.Spawn([](FakeKeyValue aService,
                        VirtualTime& aTime,
                        std::string aErased) -> Task<> {
      FailureReason why;
      const TimePoint deadline = aTime.Now() + 1s;
      co_await aService.Delete(aErased, std::nullopt, deadline, why);
    }(this->service.Connect(), this->time, aKey));
  }

  bool IsOut(const RegistryDaemon& aDaemon) const
  {
    return aDaemon.state.zonesOutOfUse.IsOut(kNorth, this->time.Now());
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::unique_ptr<RegistryDaemon> one;
  std::unique_ptr<RegistryDaemon> two;
};

// Half of the longest time in which the order must be in force.
constexpr Duration kHalfOfBound = 2'500ms;

} // namespace

// Guards against requests that reach a runner in a zone that is out of use.
SCENARIO("runners in a zone out of use get no new requests")
{
  Setting entry;
  entry.runners.scripts = { Script::Answer };

  GIVEN("a zone that is out of use")
  {
    entry.TakeOut(kNorth);

    THEN("requests go to the others")
    {
      for (int i = 0; i < 10; ++i) {
        CHECK(entry.Send("lookup").status == 200);
      }
      CHECK(entry.SentToZone(kSouth) == 10);
    }

    THEN("so do repeats and resumed streams")
    {
      entry.state.zonesOutOfUse.TakeBack(kNorth);
      entry.TakeOut(kSouth);
      entry.runners.scripts = { Script::LoseAnswer, Script::Answer };
      CHECK(entry.Send("lookup").status == 200);
      entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
      CHECK(entry.Send("resumable").status == 200);
      CHECK(entry.runners.attempts.size() == 4);
      CHECK(entry.SentToZone(kSouth) == 0);
    }

    WHEN("it is taken back")
    {
      entry.state.ApplyRemoved(kNorth, entry.time.Now());
      entry.TakeOut(kSouth);

      THEN("its runners get requests again")
      {
        CHECK(entry.Send("lookup").status == 200);
        CHECK(entry.SentToZone(kNorth) == 1);
      }
    }

    WHEN("the only other zone of the service is taken out as well")
    {
      entry.TakeOut(kSouth);
      const TimePoint sentAt = entry.time.Now();
      const FakeCaller caller = entry.Send("booking");

      THEN("a request is refused at once, as not run")
      {
        REQUIRE(caller.refusal.has_value());
        CHECK(caller.refusal->verdict == Verdict::NotRun);
        CHECK(caller.refusal->retryAfter > Duration(0));
        CHECK(entry.runners.attempts.empty());
        CHECK(entry.time.Now() - sentAt < 10ms);
        CHECK(entry.state.refusedForPlace[static_cast<std::size_t>(
                PlaceRefusal::ZonesOutOfUse)] == 1);
      }
    }
  }

  GIVEN("a request whose runner was chosen, but that has not been sent")
  {
    entry.TakeOut(kSouth);
    entry.runners.connectTime = 50ms;
    const auto request = LookupRequest();
    FakeCaller caller;
    entry.time.Spawn(entry.Run(request, caller));
    entry.time.RunUntil(entry.time.Now() + 10ms);
    REQUIRE(entry.runners.attempts.empty());
    entry.state.ApplyRemoved(kSouth, entry.time.Now());
    entry.TakeOut(kNorth);
    entry.time.RunUntil(entry.time.Now() + 1s);

    THEN("another runner is chosen")
    {
      CHECK(caller.status == 200);
      CHECK(entry.SentToZone(kNorth) == 0);
      CHECK(entry.SentToZone(kSouth) == 1);
    }
  }
}

// Guards against an order that a daemon learns too late, forgets, or keeps
// after it was taken back.
SCENARIO("every daemon learns in time which zones are out of use")
{
  Watched fleet;
  fleet.service.TakeCopy();
  fleet.service.Store("zones/north", "{}");
  fleet.RunFor(kHalfOfBound);
  REQUIRE(fleet.IsOut(*fleet.one));
  REQUIRE(fleet.IsOut(*fleet.two));
  const ServiceName service("s");
  CHECK(fleet.two->state.Candidates(service, {}, fleet.time.Now()).empty());

  WHEN("it is taken back, and named again")
  {
    fleet.Erase("zones/north");
    fleet.RunFor(kHalfOfBound);
    CHECK_FALSE(fleet.IsOut(*fleet.one));
    CHECK_FALSE(fleet.IsOut(*fleet.two));
    fleet.service.Store("zones/north", "{}");
    fleet.RunFor(kHalfOfBound);
    CHECK(fleet.IsOut(*fleet.one));
    CHECK(fleet.IsOut(*fleet.two));
  }

  WHEN("the value under its key can't be read")
  {
    fleet.service.Store("zones/north", "");
    fleet.RunFor(kHalfOfBound);
    CHECK(fleet.IsOut(*fleet.two));
  }

  WHEN("a daemon starts")
  {
    RegistryDaemon three(fleet.time, fleet.service, fleet.network, "front-3");
    fleet.RunFor(kHalfOfBound);
    CHECK(fleet.IsOut(three));
  }

  WHEN("the registry is restored from a copy that lacks the order")
  {
    fleet.service.RestoreCopy();
    fleet.RunFor(2s);

    THEN("it stays in force until the operator has written it again")
    {
      CHECK(fleet.IsOut(*fleet.one));
      CHECK(fleet.IsOut(*fleet.two));
      fleet.service.Store("zones/north", "{}");
      fleet.RunFor(10s);
      CHECK(fleet.IsOut(*fleet.one));
      CHECK(fleet.IsOut(*fleet.two));
    }

    THEN("it ends if the operator does not")
    {
      fleet.RunFor(10s);
      CHECK_FALSE(fleet.IsOut(*fleet.one));
      CHECK_FALSE(fleet.IsOut(*fleet.two));
    }
  }
}

// Guards against requests that leave the home regions of their route or
// organisation.
SCENARIO("requests stay in their home regions")
{
  struct Row
  {
    const char* name;
    std::vector<std::string> ofRoute;
    std::vector<std::string> ofOrganisation;
    const char* zone;
  };
  const Row row =
    GENERATE(Row{ "of the route", { "cape" }, {}, "c1" },
             Row{ "of the organisation", {}, { "bay" }, "b1" },
             Row{ "both bind", { "bay", "cape" }, { "alps", "cape" }, "c1" },
             Row{ "of an unknown region", { "moon" }, {}, "" },
             Row{ "that contradict each other", { "bay" }, { "cape" }, "" });
  CAPTURE(row.name);
  EntrySettings settings = TestEntry::Settings();
  settings.regions = { { AvailabilityZone("north"), "alps" },
                       { AvailabilityZone("b1"), "bay" },
                       { AvailabilityZone("c1"), "cape" } };
  TestEntry entry(settings);
  RoutingConfiguration configuration = entry.state.Routes()->Configuration();
  ++configuration.version;
  for (Route& route : configuration.routes) {
    route.homes = HomeRegions(row.ofRoute);
  }
  configuration.organisations[0].homes = HomeRegions(row.ofOrganisation);
  entry.state.Apply(configuration, entry.time.Now());
  for (const char* zone : { "b1", "c1", "unlisted" }) {
    RunnerEntry runner;
    runner.id = UpstreamId(zone);
    runner.service = ServiceName("plain");
    runner.address = zone;
    runner.zone = AvailabilityZone(zone);
    runner.slots = 4;
    entry.state.Apply(runner, entry.time.Now());
  }
  entry.runners.scripts = { Script::LoseAnswer, Script::Answer };

  const FakeCaller caller = entry.Send("lookup");
  if (std::string(row.zone).empty()) {
    REQUIRE(caller.refusal.has_value());
    CHECK(caller.refusal->verdict == Verdict::NotRun);
    CHECK(entry.runners.attempts.empty());
  } else {
    REQUIRE_FALSE(entry.runners.attempts.empty());
    for (const AttemptSpec& spec : entry.runners.attempts) {
      CHECK(spec.runner == UpstreamId(row.zone));
    }
  }
}

// Guards against a daemon that sends more than its share to a cold runner, or
// refuses requests while others are warm.
SCENARIO("cold runners get few requests, and the others the rest")
{
  Setting entry;
  entry.runners.scripts = { Script::Answer };
  RoutingConfiguration configuration = entry.state.Routes()->Configuration();
  ++configuration.version;
  configuration.services[0].coldStart = ColdStartTraits{ 3s, 15 };
  entry.state.Apply(configuration, entry.time.Now());
  entry.time.RunUntil(entry.time.Now() + 10s);
  const auto sentTo = [&entry](const UpstreamId& aRunner) {
    return std::count_if(
      entry.runners.attempts.begin(),
      entry.runners.attempts.end(),
      [&](const AttemptSpec& aSpec) { return aSpec.runner == aRunner; });
  };
  const auto restart = [&entry](const char* aRunner,
                                std::optional<Duration> aCold) {
    RunnerEntry runner = entry.state.fleet.Find(UpstreamId(aRunner))->entry;
    runner.startedAt += 1'000;
    runner.coldRemaining = aCold;
    entry.state.Apply(runner, entry.time.Now());
  };

  GIVEN("a runner that has just started")
  {
    const auto said =
      GENERATE(std::optional<Duration>(3s), std::optional<Duration>());
    restart("r-1", said);
    CHECK(entry.state.ColdRunners(entry.time.Now()) == 1);
    const TimePoint end = entry.time.Now() + 1s;
    int sent = 0;
    for (; entry.time.Now() < end; ++sent) {
      CHECK(entry.Send("lookup").status == 200);
    }
    CHECK(sent > 50);
    CHECK(sentTo(UpstreamId("r-1")) <= 15);
    CHECK(sentTo(UpstreamId("r-1")) ==
          static_cast<long>(entry.state.sentToCold));
  }

  GIVEN("a warm runner that becomes cold again")
  {
    RunnerEntry runner = entry.state.fleet.Find(UpstreamId("r-1"))->entry;
    runner.coldRemaining = 2s;
    entry.state.Apply(runner, entry.time.Now());
    CHECK(entry.state.ColdRunners(entry.time.Now()) == 1);
    CHECK(entry.state.ColdRunners(entry.time.Now() + 2s) == 0);
  }

  GIVEN("a service that sets no limit")
  {
    ++configuration.version;
    configuration.services[0].coldStart.reset();
    entry.state.Apply(configuration, entry.time.Now());
    restart("r-1", 3s);
    CHECK(entry.state.ColdRunners(entry.time.Now()) == 0);
  }

  GIVEN("a daemon that is none of the senders")
  {
    for (int i = 0; i < 40; ++i) {
      const HostId host("front-" + std::to_string(100 + i));
      entry.state.Apply(EntryMember{ host, kNorth, "" }, entry.time.Now());
    }
    std::size_t closed = 0;
    for (const char* id : { "r-1", "r-2" }) {
      restart(id, 3s);
      const auto runner = entry.state.fleet.Find(UpstreamId(id));
      const auto rank = entry.state.Shares().RankFor(id, kNorth);
      if (*rank >= ColdStart::kSenders) {
        ++closed;
        CHECK_FALSE(entry.state.MaySend(*runner, entry.time.Now() + 2s));
      }
    }
    CHECK(closed > 0);
  }
}
