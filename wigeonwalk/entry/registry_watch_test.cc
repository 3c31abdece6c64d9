#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <charconv>
#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

struct Setting
{
  Setting()
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("runners/r-1", "ready");
    this->service.Store("runners/r-2", "ready");
    this->service.Store("members/front-1", "peer-front-1");
    this->service.Store("members/front-2", "peer-front-2");
    this->one = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-1");
    this->two = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-2");
    this->RunFor(3s);
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  void CutFromRegistry(RegistryDaemon& aDaemon,
                       KeyValueFault aFault,
                       Duration aSpan)
  {
    aDaemon.service.AddLinkFault({ .fault = aFault,
                                   .from = this->time.Now(),
                                   .until = this->time.Now() + aSpan });
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::unique_ptr<RegistryDaemon> one;
  std::unique_ptr<RegistryDaemon> two;
};

} // namespace

// Guards against registry changes that are applied late or not at all.
SCENARIO("a daemon applies changes of the registry")
{
  Setting setting;
  RegistryDaemon& daemon = *setting.one;
  REQUIRE(daemon.Version() == 1);
  REQUIRE(daemon.Runners() == 2);
  const Duration bound =
    daemon.state.Settings().bounds.configurationPropagation;

  WHEN("the configuration changes")
  {
    setting.service.Store("config", "4");
    setting.RunFor(bound / 2);
    CHECK(daemon.Version() == 4);
  }

  WHEN("a runner leaves")
  {
    setting.service.Store("runners/r-1", "draining");
    setting.RunFor(daemon.state.Settings().bounds.drain / 2);
    CHECK(daemon.Runners() == 1);
  }

  WHEN("an item can't be decoded")
  {
    setting.service.Store("runners/r-3", "unreadable");
    setting.service.Store("config", "unreadable");
    setting.RunFor(2s);
    CHECK(daemon.Version() == 1);
    CHECK(daemon.Runners() == 2);
    CHECK(daemon.state.fleet.Find(UpstreamId("r-3")) == nullptr);
  }

  WHEN("nothing changes for a minute")
  {
    const auto before = setting.service.Count(KeyValueCall::Watch);
    setting.RunFor(60s);

    THEN("two daemons make at most one watch call per second each")
    {
      CHECK(setting.service.Count(KeyValueCall::Watch) - before <= 2 * 60);
    }
  }
}

// Guards against a daemon that misses changes, reverts to an older state or
// drops runners because the registry does not answer it.
SCENARIO("the registry does not answer one daemon")
{
  Setting setting;
  RegistryDaemon& daemon = *setting.one;
  const auto fault = GENERATE(
    KeyValueFault::Down, KeyValueFault::Silent, KeyValueFault::AnswerLost);
  setting.CutFromRegistry(daemon, fault, 9s);

  THEN("it learns of changes from its peers within seconds")
  {
    setting.RunFor(2s);
    setting.service.Store("config", "5");
    setting.service.Store("runners/r-1", "draining");
    setting.RunFor(4s);
    CHECK(daemon.Version() == 5);
    CHECK(daemon.Runners() == 1);
    CHECK(daemon.state.registryUnreachable);

    AND_THEN("it resumes its watch once the registry answers again")
    {
      setting.RunFor(8s);
      CHECK_FALSE(daemon.state.registryUnreachable);
      CHECK(daemon.Version() == 5);
      CHECK(daemon.Runners() == 1);
    }
  }
}

// Guards against requests to a runner that leaves after an outage: it must not
// be mistaken for one whose registration expired during the outage.
SCENARIO("a runner leaves after an outage of the registry")
{
  Setting setting;
  RegistryDaemon& daemon = *setting.one;
  setting.CutFromRegistry(daemon, KeyValueFault::Down, 5s);
  setting.RunFor(5s);
  // The deployment's time limits apply again this long after the outage.
  setting.RunFor(3s);
  setting.time.Spawn([](FakeKeyValue aService, VirtualTime& aTime) -> Task<> {
    FailureReason why;
    const std::string key = "runners/r-1";
    const TimePoint deadline = aTime.Now() + 1s;
    co_await aService.Delete(key, std::nullopt, deadline, why);
  }(setting.service.Connect(), setting.time));
  // One watch interval, without a grace period for an expired registration.
  setting.RunFor(RegistryDaemon::Watch::kMinWatchInterval + 250ms);
  CHECK(
    daemon.state.Candidates(ServiceName("s"), {}, setting.time.Now()).size() ==
    1);
}

// Guards against a watch call that hangs and delays a change for longer than
// the deployment allows.
SCENARIO("a call to the registry hangs")
{
  Setting setting;
  RegistryDaemon& daemon = *setting.one;
  const auto silence =
    std::chrono::milliseconds(GENERATE(range(0, 3'000, 100)));
  setting.CutFromRegistry(daemon, KeyValueFault::Silent, silence);
  // The other daemon is down and can't report the changes either.
  setting.two->endpoint.alive = false;
  setting.RunFor(silence);
  setting.service.Store("runners/r-1", "draining");
  setting.service.Store("config", "9");
  setting.RunFor(daemon.state.Settings().bounds.drain - 100ms);
  CHECK(daemon.Runners() == 1);
  CHECK(daemon.Version() == 9);
}

// Guards against the loss of all runners after an outage of the registry during
// which their leases expired.
SCENARIO("the registry is down for all daemons and registrations expire")
{
  Setting setting;
  RegistryDaemon& daemon = *setting.one;
  setting.service.AddFault({ .fault = KeyValueFault::Down,
                             .from = setting.time.Now(),
                             .until = setting.time.Now() + 6s });
  setting.RunFor(5s);
  CHECK(daemon.Runners() == 2);
  FailureReason ignored;
  setting.time.Spawn([](FakeKeyValue aService, VirtualTime& aTime) -> Task<> {
    FailureReason why;
    // Both registrations are removed when the registry is back; one runner
    // registers again.
    co_await aTime.WaitUntil(aTime.Now() + 1'010ms);
    const std::string first = "runners/r-1";
    const std::string second = "runners/r-2";
    const TimePoint deadline = aTime.Now() + 1s;
    co_await aService.Delete(first, std::nullopt, deadline, why);
    co_await aService.Delete(second, std::nullopt, deadline, why);
  }(setting.service.Connect(), setting.time));
  setting.RunFor(2s);
  CHECK(daemon.Runners() == 2);
  setting.service.Store("runners/r-1", "ready");
  setting.RunFor(4s);
  CHECK(daemon.Runners() == 1);
  CHECK(daemon.state.fleet.Find(UpstreamId("r-1")) != nullptr);
}

// Guards against requests to runners that other daemons have loaded or paused.
SCENARIO("daemons inform each other about runners")
{
  Setting setting;
  const auto runner = setting.two->state.fleet.Find(UpstreamId("r-1"));

  WHEN("one of them announces that a runner loads weights")
  {
    setting.one->peers.AnnouncePause(
      { UpstreamId("r-1"), ModelName("m"), 2, 1s });
    setting.RunFor(50ms);
    CHECK(runner->pausedUntil > setting.time.Now());
    CHECK(runner->VersionOf(ModelName("m")) == 2);
    CHECK(
      setting.two->state.Candidates(ServiceName("s"), {}, setting.time.Now())
        .size() == 1);
  }

  WHEN("one of them sends a long prompt")
  {
    setting.one->peers.AnnounceWork({ UpstreamId("r-1"), 38'000 });
    setting.RunFor(50ms);
    CHECK(runner->othersPrefillUntil > setting.time.Now() + 900ms);
    CHECK(runner->othersPrefillUntil < setting.time.Now() + 1'100ms);
  }

  WHEN("one of them tells how many long prompts it has at a runner")
  {
    const auto tell = [&](std::uint32_t aCount) {
      RunnerWork work{ UpstreamId("r-1") };
      work.atRunner = { aCount, aCount * 17'060 };
      setting.one->peers.AnnounceWork(work);
      setting.RunFor(50ms);
    };
    tell(2);
    CHECK(runner->othersInFlight == 2);
    CHECK(runner->othersTokensInFlight == 34'120);

    THEN("the next number replaces it")
    {
      tell(1);
      CHECK(runner->othersTokensInFlight == 17'060);
      tell(0);
      CHECK(runner->othersInFlight == 0);
    }

    THEN("a lost end leaves it for some runs only")
    {
      setting.one->endpoint.alive = false;
      setting.RunFor(1'500ms);
      CHECK(runner->othersInFlight == 2);
      setting.RunFor(1'000ms);
      CHECK(runner->othersInFlight == 0);
    }
  }

  WHEN("one of them has requests in flight")
  {
    const RunnerLoad load(
      setting.one->state.fleet.Find(UpstreamId("r-1")), 5'000, 0);
    setting.RunFor(400ms);
    CHECK(runner->othersInFlight == 3);
    CHECK(runner->othersTokensInFlight == 5'000);

    THEN("the load report expires if no new one follows")
    {
      setting.one->endpoint.alive = false;
      setting.RunFor(1'200ms);
      CHECK(runner->othersInFlight == 0);
    }
  }
}

// Guards against a daemon that never begins to serve because reading all items
// of a large or slow registry takes longer than one call.
SCENARIO("a daemon starts while the registry is slow")
{
  Setting setting;
  const Duration delay = GENERATE(900ms, 1'500ms, 3s);
  CAPTURE(delay.count());
  setting.service.AddFault({ .fault = KeyValueFault::Slow,
                             .from = setting.time.Now(),
                             .delay = delay });
  RegistryDaemon late(
    setting.time, setting.service, setting.network, "front-9");
  // It knows no peers before it has read the registry. The bound is the users'
  // recovery time.
  setting.RunFor(12s);
  CHECK(late.Version() == 1);
  CHECK(late.Runners() == 2);
}
