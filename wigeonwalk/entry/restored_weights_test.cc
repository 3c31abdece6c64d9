#include "wigeonwalk/entry/test_recording.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Returns the newest version in the registry's record; zero if there is none.
WeightNumber
RecordedVersion(const RecordingSetting& aSetting)
{
  const auto item = aSetting.service.Peek("published/m");
  if (!item) {
    return 0;
  }
  FailureReason reason;
  const RegistryItem decoded = TestDecoder{}.Decode(*item, reason);
  return std::get<WeightsRecord>(decoded).versions.back().version;
}

} // namespace

// Guards against requests on replaced weights after a restart that follows a
// restore of the registry: the record was lost and not written again.
SCENARIO("a record of weights that a restore lost is written again")
{
  RecordingSetting setting;
  setting.service.TakeCopy();
  const TimePoint second = setting.Publish("2");
  setting.RunFor(4s);
  REQUIRE(RecordedVersion(setting) == 2);
  const auto puts = [&setting] {
    return setting.service.Count(KeyValueCall::Put);
  };
  REQUIRE(puts() == 1);

  WHEN("the copy has no record")
  {
    setting.service.RestoreCopy();
    setting.Publish("2");
    setting.RunFor(3s);
    CHECK(RecordedVersion(setting) == 2);

    THEN("it is written once, also if another daemon gives orders")
    {
      setting.daemons[0]->authority.fenced = true;
      setting.daemons[1]->authority.fenced = false;
      setting.RunFor(10s);
      setting.daemons[0]->authority.fenced = false;
      setting.daemons[1]->authority.fenced = true;
      setting.RunFor(10s);
      CHECK(puts() == 2);
    }

    AND_WHEN("all daemons are restarted")
    {
      setting.StartAll();
      setting.RunFor(1s);
      REQUIRE(setting.daemons[1]->RecordedReplacement(1));
      CHECK(*setting.daemons[1]->RecordedReplacement(1) - second <= 1s);
    }

    AND_WHEN("it is restored again")
    {
      setting.service.RestoreCopy();
      setting.Publish("2");
      setting.RunFor(3s);
      CHECK(RecordedVersion(setting) == 2);
      CHECK(puts() == 3);
    }
  }

  WHEN("the copy has an older record")
  {
    setting.service.TakeCopy();
    setting.Publish("3");
    setting.RunFor(3s);
    setting.service.RestoreCopy();
    setting.Publish("3");
    setting.RunFor(3s);
    CHECK(RecordedVersion(setting) == 3);
    CHECK(puts() == 3);
  }

  WHEN("the copy has the newest record")
  {
    setting.service.TakeCopy();
    setting.service.RestoreCopy();
    setting.RunFor(10s);
    CHECK(puts() == 1);
  }

  WHEN("another daemon gives orders after the restore")
  {
    setting.service.RestoreCopy();
    setting.daemons[0]->authority.fenced = true;
    setting.RunFor(3s);
    setting.daemons[1]->authority.fenced = false;
    setting.RunFor(3s);
    CHECK(RecordedVersion(setting) == 2);
    CHECK(puts() == 2);
  }
}
