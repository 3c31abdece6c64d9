#include "wigeonwalk/entry/test_recording.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against requests on weights that were replaced long ago, after a
// restart of all daemons: none of them has observed the publications.
SCENARIO("publications are known after a restart of all daemons")
{
  RecordingSetting setting;
  const TimePoint second = setting.Publish("2");
  setting.RunFor(6s);
  const TimePoint third = setting.Publish("3");
  setting.RunFor(2s);

  THEN("each one is written once")
  {
    setting.RunFor(20s);
    CHECK(setting.service.Count(KeyValueCall::Put) == 2);
  }

  WHEN("all are restarted")
  {
    setting.StartAll();
    setting.RunFor(1s);
    THEN("they know the recorded times, and count from their start themselves")
    {
      for (const auto& daemon : setting.daemons) {
        REQUIRE(daemon->RecordedReplacement(2));
        CHECK(*daemon->RecordedReplacement(1) - second <= 1s);
        CHECK(*daemon->RecordedReplacement(2) - third <= 1s);
        CHECK(*daemon->ReplacedAt(2) > third + 1s);
      }
    }

    AND_WHEN("a further version is published")
    {
      const TimePoint fourth = setting.Publish("4");
      setting.RunFor(2s);
      setting.StartAll();
      setting.RunFor(1s);
      THEN("it is recorded beside the others")
      {
        const auto& daemon = *setting.daemons[1];
        REQUIRE(daemon.RecordedReplacement(3));
        CHECK(*daemon.RecordedReplacement(1) - second <= 1s);
        CHECK(*daemon.RecordedReplacement(3) - fourth <= 1s);
      }
    }
  }
}

// Guards against calls of the registry that repeat, and against records of a
// time at which a daemon merely started.
SCENARIO("a publication is recorded once, by the daemon that observed it")
{
  RecordingSetting setting;
  CHECK(setting.service.Count(KeyValueCall::Put) == 0);

  WHEN("the answer to the write is lost")
  {
    setting.daemons[0]->service.AddLinkFault(
      { .fault = KeyValueFault::AnswerLost,
        .from = setting.time.Now(),
        .until = setting.time.Now() + 2s,
        .keyPrefix = "published/" });
    setting.Publish("2");
    setting.RunFor(10s);
    CHECK(setting.service.Changes("published/").size() == 1);
  }

  WHEN("the write fails")
  {
    setting.daemons[0]->service.AddLinkFault({ .fault = KeyValueFault::Down,
                                               .from = setting.time.Now(),
                                               .until = setting.time.Now() + 4s,
                                               .keyPrefix = "published/" });
    const TimePoint second = setting.Publish("2");
    setting.RunFor(10s);
    THEN("it is repeated at intervals, with the time of the publication")
    {
      CHECK(setting.service.Count(KeyValueCall::Put) <= 6);
      REQUIRE(setting.daemons[1]->RecordedReplacement(1));
      CHECK(*setting.daemons[1]->RecordedReplacement(1) - second <= 1s);
    }
  }

  WHEN("no daemon gives orders at that time")
  {
    setting.daemons[0]->authority.fenced = true;
    const TimePoint second = setting.Publish("2");
    setting.RunFor(4s);
    THEN("the others record it, with one write")
    {
      CHECK(setting.service.Count(KeyValueCall::Put) == 1);
      setting.daemons[1]->authority.fenced = false;
      setting.RunFor(2s);
      CHECK(setting.service.Count(KeyValueCall::Put) == 1);
      REQUIRE(setting.daemons[0]->RecordedReplacement(1));
      CHECK(*setting.daemons[0]->RecordedReplacement(1) - second <= 1s);
    }

    AND_WHEN("all are restarted three seconds after a further publication")
    {
      const TimePoint third = setting.Publish("3");
      setting.RunFor(3s);
      setting.StartAll();
      setting.RunFor(1s);
      THEN("they know when it was published")
      {
        for (const auto& daemon : setting.daemons) {
          REQUIRE(daemon->RecordedReplacement(2));
          CHECK(*daemon->RecordedReplacement(2) - third <= 1s);
          CHECK(*daemon->EstimatedReplacement(2) - third <= 1s);
        }
      }
    }
  }

  WHEN("the daemon that gives orders is lost and none takes over")
  {
    const TimePoint second = setting.Publish("2");
    setting.RunFor(50ms);
    setting.Kill(std::move(setting.daemons[0]));
    setting.daemons.erase(setting.daemons.begin());
    setting.RunFor(3s);
    THEN("one that never gives orders has recorded it")
    {
      REQUIRE(setting.daemons[0]->RecordedReplacement(1));
      CHECK(*setting.daemons[0]->RecordedReplacement(1) - second <= 1s);
    }
  }

  WHEN("many versions are published")
  {
    for (int i = 2; i <= 20; ++i) {
      setting.Publish(std::to_string(i));
      setting.RunFor(1s);
    }
    THEN("the record has the newest ones")
    {
      const auto& record = setting.daemons[1]->state.RecordedWeightsOf(kModel);
      CHECK(record.Newest().version == 20);
      const auto item = setting.service.Peek("published/m");
      REQUIRE(item.has_value());
      FailureReason reason;
      const RegistryItem decoded = TestDecoder{}.Decode(*item, reason);
      CHECK(std::get<WeightsRecord>(decoded).versions.size() ==
            RecordingDaemon::Recorder::kMaxVersions);
    }
  }
}

// Guards against requests on weights that were replaced while no daemon ran:
// none has observed the publication, so each restart of all counted anew.
SCENARIO("a publication that all daemons found outlasts their next restart")
{
  RecordingSetting setting;
  const TimePoint second = setting.Publish("2");
  setting.StartAll();
  setting.RunFor(5s);
  setting.StartAll();
  setting.RunFor(4s);
  for (const auto& daemon : setting.daemons) {
    REQUIRE(daemon->RecordedReplacement(1));
    CHECK(*daemon->RecordedReplacement(1) <= second);
  }
}

// Guards against a time that counts from the return of the daemons, although
// the weights were published while all were down.
SCENARIO("weights that were published while no daemon ran count from before")
{
  RecordingSetting setting;
  const TimePoint second = setting.Publish("2");
  setting.StartAll();
  setting.RunFor(3s);
  for (const auto& daemon : setting.daemons) {
    const auto known = daemon->EstimatedReplacement(1);
    REQUIRE(known);
    CHECK(*known <= second);
    CHECK(*known >= second - daemon->state.Settings().bounds.newWeights);
  }

  WHEN("a daemon that observed the publication can be asked")
  {
    const TimePoint third = setting.Publish("3");
    setting.RunFor(1s);
    setting.Kill(std::move(setting.daemons[1]));
    setting.daemons[1] = std::make_unique<RecordingDaemon>(
      setting.time, setting.service, setting.network, "front-2", false);
    setting.RunFor(3s);
    THEN("its time counts")
    {
      const auto known = setting.daemons[1]->EstimatedReplacement(2);
      REQUIRE(known);
      CHECK(*known >= third - 1s);
      CHECK(*known <= third + 1s);
    }
  }
}
