#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Two daemons of a zone, and a registry that is copied before and after it
// changes.
struct Setting
{
  Setting()
    : service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("weights/m", "1");
    this->service.Store("runners/r-1", "ready 100");
    this->service.Store("members/front-1", "peer-front-1");
    this->service.Store("members/front-2", "peer-front-2");
    this->one = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-1");
    this->two = std::make_unique<RegistryDaemon>(
      this->time, this->service, this->network, "front-2");
    this->RunFor(3s);
    this->service.TakeCopy();
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
    this->RunFor(1s);
  }

  // The number of runners that may get a request.
  std::size_t Usable(const RegistryDaemon& aDaemon) const
  {
    return aDaemon.state.Candidates(ServiceName("s"), {}, this->time.Now())
      .size();
  }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::unique_ptr<RegistryDaemon> one;
  std::unique_ptr<RegistryDaemon> two;
};

} // namespace

// Guards against runners that are dropped because a copy of the registry does
// not list them.
SCENARIO("runners that registered after the copy are kept")
{
  Setting setting;
  setting.service.Store("runners/r-2", "ready 100");
  setting.RunFor(3s);
  REQUIRE(setting.Usable(*setting.one) == 2);

  WHEN("the registry is restored without an outage")
  {
    setting.service.RestoreCopy();
    setting.RunFor(2s);
    CHECK(setting.Usable(*setting.one) == 2);
    CHECK(setting.Usable(*setting.two) == 2);

    THEN("they are removed unless they register again")
    {
      setting.RunFor(3s);
      CHECK(setting.Usable(*setting.one) == 1);
      CHECK(setting.Usable(*setting.two) == 1);
    }

    AND_WHEN("they register again")
    {
      setting.service.Store("runners/r-2", "ready 100");
      setting.RunFor(5s);
      CHECK(setting.Usable(*setting.one) == 2);
      CHECK(setting.Usable(*setting.two) == 2);
    }
  }
}

// Guards against a listing that is read with the revision of an earlier
// incarnation.
SCENARIO("the registry is restored again while it is read")
{
  Setting setting;
  setting.service.Store("runners/r-2", "ready 100");
  setting.RunFor(3s);
  const TimePoint now = setting.time.Now();
  setting.service.AddFault({ .fault = KeyValueFault::Slow,
                             .from = now + 10ms,
                             .until = now + 1s,
                             .delay = 300ms });
  setting.service.RestoreCopy();
  const Duration wait = GENERATE(100ms, 350ms, 600ms, 900ms);
  CAPTURE(wait.count());
  setting.RunFor(wait);
  setting.service.RestoreCopy();
  setting.service.Store("config", "2");
  setting.RunFor(2s);
  for (const RegistryDaemon* daemon : { &*setting.one, &*setting.two }) {
    CHECK(IncarnationOf(daemon->mirror.Revision()) == 2);
    CHECK(daemon->Version() == 2);
    CHECK(setting.Usable(*daemon) == 2);
  }
  setting.RunFor(4s);
  for (const RegistryDaemon* daemon : { &*setting.one, &*setting.two }) {
    CHECK(setting.Usable(*daemon) == 1);
  }
}

// Guards against requests to a runner that has left and reappears from a copy
// of the registry.
SCENARIO("a runner that has left reappears from the copy")
{
  Setting setting;

  WHEN("it was leaving")
  {
    setting.service.Store("runners/r-1", "draining 100");
    setting.RunFor(2s);
    setting.Erase("runners/r-1");
    setting.service.RestoreCopy();
    setting.RunFor(6s);
    CHECK(setting.Usable(*setting.one) == 0);
    CHECK(setting.Usable(*setting.two) == 0);

    THEN("only its next start gets requests")
    {
      setting.service.Store("runners/r-1", "ready 200");
      setting.RunFor(1s);
      CHECK(setting.Usable(*setting.one) == 1);
      CHECK(setting.Usable(*setting.two) == 1);
    }
  }

  WHEN("its registration had lapsed")
  {
    setting.Erase("runners/r-1");
    REQUIRE(setting.Usable(*setting.one) == 0);
    setting.service.RestoreCopy();
    setting.RunFor(2s);
    CHECK(setting.Usable(*setting.one) == 0);
    CHECK(setting.Usable(*setting.two) == 0);

    THEN("it gets none if the registration lapses again")
    {
      setting.Erase("runners/r-1");
      setting.RunFor(5s);
      CHECK(setting.Usable(*setting.one) == 0);
      CHECK(setting.Usable(*setting.two) == 0);
    }

    THEN("it gets some as soon as it registers again")
    {
      setting.service.Store("runners/r-1", "ready 100");
      setting.RunFor(1s);
      CHECK(setting.Usable(*setting.one) == 1);
      CHECK(setting.Usable(*setting.two) == 1);
    }

    THEN("it gets some if it stays registered")
    {
      setting.RunFor(3s);
      CHECK(setting.Usable(*setting.one) == 1);
      CHECK(setting.Usable(*setting.two) == 1);
    }

    THEN("it gets none after the next restore")
    {
      setting.service.RestoreCopy();
      setting.RunFor(1'500ms);
      CHECK(setting.Usable(*setting.one) == 0);
      CHECK(setting.Usable(*setting.two) == 0);
    }
  }

  WHEN("its registration lapses and returns without a restore")
  {
    setting.Erase("runners/r-1");
    setting.service.Store("runners/r-1", "ready 100");
    setting.RunFor(1s);
    CHECK(setting.Usable(*setting.one) == 1);
    CHECK(setting.Usable(*setting.two) == 1);
  }
}

// Guards against a runner that is replaced by its earlier start.
SCENARIO("an earlier start of a runner reappears from the copy")
{
  Setting setting;
  setting.service.Store("runners/r-1", "ready 200");
  setting.RunFor(2s);
  const UpstreamId id("r-1");
  const auto present = setting.one->state.fleet.Find(id);
  REQUIRE(present->entry.startedAt == 200);
  setting.service.RestoreCopy();
  setting.RunFor(1s);
  CHECK(setting.one->state.fleet.Find(id) == present);
  setting.service.Store("runners/r-1", "ready 200");
  setting.RunFor(1s);
  CHECK(setting.one->state.fleet.Find(id) == present);
}

// Guards against a daemon that keeps what a restore has removed because it
// learns of the restore from another one.
SCENARIO("a daemon learns of a restore from one that knows nothing earlier")
{
  Setting setting;
  setting.service.Store("members/front-3", "peer-front-3");
  setting.service.TakeCopy();
  setting.service.Store("runners/r-2", "ready 100");
  setting.RunFor(2s);
  REQUIRE(setting.Usable(*setting.one) == 2);
  setting.one->service.AddLinkFault(
    { .fault = KeyValueFault::Down, .from = setting.time.Now() });
  setting.two->endpoint.alive = false;
  setting.service.RestoreCopy();
  RegistryDaemon late(
    setting.time, setting.service, setting.network, "front-3");
  setting.service.Store("config", "2");
  setting.RunFor(3s);
  CHECK(setting.one->Version() == 2);
  CHECK(setting.Usable(*setting.one) == 2);
  setting.RunFor(4s);
  CHECK(setting.Usable(*setting.one) == 1);
}

// Guards against a daemon that brings back what was lost in a restore.
SCENARIO("a daemon does not know of the restore")
{
  Setting setting;
  setting.service.Store("runners/r-2", "ready 100");
  setting.RunFor(2s);
  setting.one->service.AddLinkFault(
    { .fault = KeyValueFault::Down, .from = setting.time.Now() });
  setting.one->endpoint.alive = false;
  setting.service.RestoreCopy();
  setting.RunFor(5s);
  REQUIRE(setting.Usable(*setting.two) == 1);
  setting.two->service.AddLinkFault(
    { .fault = KeyValueFault::Down, .from = setting.time.Now() });
  setting.one->endpoint.alive = true;
  setting.two->endpoint.pausedUntil = setting.time.Now() + 100ms;
  setting.RunFor(5s);
  CHECK(setting.Usable(*setting.two) == 1);
  CHECK(IncarnationOf(setting.one->mirror.Revision()) == 1);
  CHECK(setting.Usable(*setting.one) == 1);
}

// Guards against a daemon that is not told of a change because the one that it
// asks knew the same state before the restore.
SCENARIO("a listing repeats what a daemon knew before the restore")
{
  Setting setting;
  setting.service.Store("members/front-3", "peer-front-3");
  setting.service.TakeCopy();
  setting.service.Store("runners/r-1", "draining 100");
  setting.RunFor(2s);
  REQUIRE(setting.Usable(*setting.one) == 0);
  setting.two->endpoint.alive = false;
  setting.one->endpoint.alive = false;
  setting.one->service.AddLinkFault({ .fault = KeyValueFault::Down,
                                      .from = setting.time.Now(),
                                      .until = setting.time.Now() + 5s });
  setting.service.RestoreCopy();
  RegistryDaemon late(
    setting.time, setting.service, setting.network, "front-3");
  setting.RunFor(3s);
  REQUIRE(setting.Usable(late) == 1);
  late.service.AddLinkFault(
    { .fault = KeyValueFault::Down, .from = setting.time.Now() });
  setting.RunFor(1s);
  setting.service.Store("runners/r-1", "draining 100");
  setting.RunFor(2s);
  setting.one->endpoint.alive = true;
  setting.RunFor(4s);
  CHECK(late.mirror.Revision() == setting.one->mirror.Revision());
  CHECK(setting.Usable(late) == 0);
}

// Guards against a configuration, weights or their ages that return to an older
// state.
SCENARIO("the copy holds an older configuration and older weights")
{
  Setting setting;
  const ModelName model("m");
  setting.service.Store("config", "2");
  setting.service.Store("weights/m", "2");
  setting.RunFor(1s);
  setting.service.Store("config", "3");
  setting.service.Store("weights/m", "3");
  setting.RunFor(1s);
  const auto known = setting.one->state.WeightsOf(model).Versions();
  REQUIRE(known.size() == 3);
  setting.service.RestoreCopy();
  setting.RunFor(2s);
  for (const RegistryDaemon* daemon : { &*setting.one, &*setting.two }) {
    CHECK(daemon->Version() == 3);
    CHECK(daemon->state.WeightsOf(model).Newest().version == 3);
  }
  CHECK(setting.one->state.WeightsOf(model).Versions() == known);

  WHEN("the changes are written again, and new ones")
  {
    setting.service.Store("config", "3");
    setting.service.Store("weights/m", "3");
    setting.RunFor(1s);
    CHECK(setting.one->state.WeightsOf(model).Versions() == known);
    setting.service.Store("config", "4");
    setting.service.Store("weights/m", "4");
    setting.RunFor(1s);
    for (const RegistryDaemon* daemon : { &*setting.one, &*setting.two }) {
      CHECK(daemon->Version() == 4);
      CHECK(daemon->state.WeightsOf(model).Newest().version == 4);
      CHECK(daemon->state.WeightsOf(model).IsExact(4));
    }
  }

  WHEN("a daemon starts")
  {
    RegistryDaemon late(
      setting.time, setting.service, setting.network, "front-9");
    setting.RunFor(1s);
    CHECK(late.Version() == 1);
    setting.service.Store("config", "3");
    setting.service.Store("weights/m", "3");
    setting.RunFor(1s);
    CHECK(late.Version() == 3);
    CHECK(late.state.WeightsOf(model).Newest().version == 3);
  }
}

namespace {

WatchEvent
Change(const std::string& aKey, std::int64_t aRevision, bool aDeleted = false)
{
  WatchEvent change;
  change.deleted = aDeleted;
  change.entry.key = aKey;
  change.entry.modRevision = aRevision;
  return change;
}

} // namespace

// Guards against items of an earlier incarnation in the mirror.
SCENARIO("a mirror knows a restored registry")
{
  ItemMirror mirror;
  mirror.Apply(Change("a", 40));
  mirror.Apply(Change("b", 41));
  mirror.NoteRevision(60);
  const auto changes = mirror.Replace(
    { Change("a", MakeRevision(1, 20)).entry }, MakeRevision(1, 21));
  REQUIRE(changes.size() == 2);
  CHECK(changes[1].deleted);
  CHECK(mirror.Revision() == MakeRevision(1, 21));

  THEN("a change of the earlier incarnation is ignored")
  {
    CHECK(!mirror.Apply(Change("a", 61)));
    CHECK(!mirror.Apply(Change("c", 62)));
    CHECK(mirror.Items().size() == 1);
  }

  THEN("a listing of the earlier incarnation is ignored")
  {
    CHECK(mirror.Replace({ Change("c", 62).entry }, 63).empty());
    CHECK(mirror.Items().size() == 1);
    CHECK(mirror.Revision() == MakeRevision(1, 21));
  }

  THEN("later changes at lower numbers are applied")
  {
    CHECK(mirror.Apply(Change("a", MakeRevision(1, 22))));
    CHECK(mirror.Apply(Change("b", MakeRevision(1, 23))));
    CHECK(mirror.ChangesSince(MakeRevision(1, 21))->size() == 2);
  }

  THEN("only a full copy brings a daemon of the earlier incarnation up to date")
  {
    CHECK(!mirror.ChangesSince(60).has_value());
    CHECK(!mirror.ChangesSince(MakeRevision(1, 0)).has_value());
    CHECK(mirror.ChangesSince(MakeRevision(1, 21)).has_value());
  }
}
