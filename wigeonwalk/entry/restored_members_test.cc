#include "wigeonwalk/entry/member_presence.h"
#include "wigeonwalk/entry/test_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Presence = MemberPresence<FakeKeyValue, VirtualTime, NullLog>;

// A daemon that watches the registry, and members that use its mirror.
struct MemberSetting
{
  MemberSetting()
    : service(time)
    , network(time, 7)
    , watcher(time, service, network, "front-1")
  {
    this->service.Store("config", "1");
    this->RunFor(1s);
    this->service.TakeCopy();
  }

  void Add(int aMembers)
  {
    for (int i = 0; i < aMembers; ++i) {
      this->keys.push_back("members/front-" + std::to_string(i));
      this->members.push_back(std::make_unique<Presence>(this->watcher.mirror,
                                                         this->service,
                                                         this->time,
                                                         this->log,
                                                         this->keys.back(),
                                                         "peer"));
      this->time.Spawn(this->members.back()->Run());
    }
    this->RunFor(3s);
  }

  bool AllPresent() const
  {
    return std::all_of(
      this->keys.begin(), this->keys.end(), [this](const std::string& aKey) {
        return this->service.Peek(aKey).has_value();
      });
  }

  // Returns how long some key was missing in the next `aSpan`.
  Duration MissingIn(Duration aSpan)
  {
    constexpr Duration kStep = 20ms;
    Duration missing{ 0 };
    const TimePoint end = this->time.Now() + aSpan;
    while (this->time.Now() < end) {
      this->RunFor(kStep);
      missing += this->AllPresent() ? Duration(0) : kStep;
    }
    return missing;
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  RegistryDaemon watcher;
  NullLog log;
  std::vector<std::string> keys;
  std::vector<std::unique_ptr<Presence>> members;
};

} // namespace

// Guards against daemons that are missing among the members for seconds after a
// restore of the registry.
SCENARIO("a member announces itself again when its key is lost")
{
  MemberSetting setting;
  setting.Add(1);
  REQUIRE(setting.AllPresent());

  WHEN("the registry is restored from a copy without it")
  {
    setting.service.RestoreCopy();
    CHECK(setting.MissingIn(20s) <= 1'500ms);
    CHECK(setting.AllPresent());
  }

  WHEN("the registry is restored from a copy with its key")
  {
    setting.service.TakeCopy();
    setting.RunFor(1s);
    setting.service.RestoreCopy();
    CHECK(setting.MissingIn(20s) == 0s);
  }

  WHEN("the registry is restored twice after an outage")
  {
    const Duration outage = GENERATE(500ms, 3s);
    setting.service.AddFault({ .fault = KeyValueFault::Down,
                               .from = setting.time.Now(),
                               .until = setting.time.Now() + outage });
    setting.service.RestoreCopy();
    setting.RunFor(outage);
    CHECK(setting.MissingIn(700ms) <= 700ms);
    setting.service.RestoreCopy();
    CHECK(setting.MissingIn(20s) <= 1'500ms);
  }

  WHEN("its lease ends")
  {
    setting.service.LapseLease(setting.service.Peek(setting.keys[0])->lease);
    CHECK(setting.MissingIn(10s) <= 1'500ms);
  }

  WHEN("nothing fails")
  {
    setting.RunFor(20s);
    THEN("only its lease is renewed")
    {
      CHECK(setting.service.Count(KeyValueCall::Put) == 1);
      CHECK(setting.service.Count(KeyValueCall::GrantLease) == 1);
      CHECK(setting.service.Count(KeyValueCall::KeepAlive) <= 9);
    }
  }
}

// Guards against a burst of writes when a large fleet sees a restore.
SCENARIO("members announce themselves again over a short time")
{
  constexpr int kMembers = 300;
  MemberSetting setting;
  setting.Add(kMembers);
  setting.service.RestoreCopy();
  std::uint64_t before = setting.service.Count(KeyValueCall::Put);
  std::uint64_t most = 0;
  for (int i = 0; i < 100; ++i) {
    setting.RunFor(20ms);
    const std::uint64_t count = setting.service.Count(KeyValueCall::Put);
    most = std::max(most, count - before);
    before = count;
  }
  CHECK(setting.AllPresent());
  CHECK(most <= kMembers / 5);
}
