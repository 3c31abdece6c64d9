#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Keeper = LeaseKeeper<FakeKeyValue, PausableTimer>;

// One process that competes for the lease.
struct Process
{
  Process(VirtualTime& aTime, FakeKeyValue& aService, std::string aName)
    : timer(aTime, pause)
    , service(aService.Connect())
    , keeper(service, timer, { "lease", std::move(aName), 10s })
  {
    this->service.SetPause(&this->pause);
  }

  ProcessPause pause;
  PausableTimer timer;
  FakeKeyValue service;
  Keeper keeper;
};

struct HolderCase
{
  const char* name;
  KeyValueFault fault;
  // Start and end of the fault, relative to the start of the test.
  Duration from;
  Duration until;
  // Start and end of a pause of the first holder's process.
  Duration pausedFrom;
  Duration pausedUntil;
  // Latest time at which the second process must hold the lease; zero if the
  // first one keeps it.
  Duration takenOverBy;
};

} // namespace

// Guards against two processes that both consider themselves holders of a
// lease, after a pause or a fault of the service, and against a fencing number
// that does not increase.
SCENARIO("one process at a time holds a lease", "[lease]")
{
  VirtualTime time;
  const TimePoint start = time.Now();
  FakeKeyValue service(time);
  Process first(time, service, "first");
  Process second(time, service, "second");
  const auto row = GENERATE(values<HolderCase>({
    { "no fault", KeyValueFault::Down, 0s, 0s, 0s, 0s, 0s },
    { "paused for less than the time to live",
      KeyValueFault::Down,
      0s,
      0s,
      20s,
      25s,
      0s },
    { "paused for a minute", KeyValueFault::Down, 0s, 0s, 20s, 80s, 31s },
    { "expired early", KeyValueFault::LeaseLapsed, 20s, 20s, 0s, 0s, 24s },
    { "down for 5 s", KeyValueFault::Down, 20s, 25s, 0s, 0s, 0s },
    { "down for an hour", KeyValueFault::Down, 20s, 3'620s, 0s, 0s, 0s },
    { "answers lost for 30 s",
      KeyValueFault::AnswerLost,
      20s,
      50s,
      0s,
      0s,
      0s },
  }));
  CAPTURE(row.name);
  if (row.until > row.from || row.fault == KeyValueFault::LeaseLapsed) {
    service.AddFault({ row.fault, start + row.from, start + row.until });
  }
  first.pause = { start + row.pausedFrom, start + row.pausedUntil };
  time.Spawn(first.keeper.Run());
  time.RunUntil(start + 1s);
  time.Spawn(second.keeper.Run());
  REQUIRE(first.keeper.FencingNumber());
  const std::uint64_t firstNumber = *first.keeper.FencingNumber();

  std::uint64_t highest = firstNumber;
  std::optional<TimePoint> takenOver;
  for (TimePoint now = start + 1s; now < start + 3'700s; now += 100ms) {
    time.RunUntil(now);
    const auto one = first.keeper.FencingNumber();
    const auto two = second.keeper.FencingNumber();
    // A lease that the service expires early is noticed only at the next
    // renewal, so in that case only the fencing numbers separate the two.
    REQUIRE((row.fault == KeyValueFault::LeaseLapsed || !(one && two)));
    for (const auto& number : { one, two }) {
      highest = std::max(highest, number.value_or(0));
    }
    if (two && !takenOver) {
      takenOver = now;
      CHECK(*two > firstNumber);
    }
  }
  if (row.takenOverBy == 0s) {
    CHECK((!takenOver || row.until - row.from > 10s));
  } else {
    REQUIRE(takenOver);
    CHECK(*takenOver <= start + row.takenOverBy);
  }
  // One process holds the lease at the end, with the highest number.
  const auto one = first.keeper.FencingNumber();
  const auto two = second.keeper.FencingNumber();
  CHECK((one || two));
  CHECK(one.value_or(two.value_or(0)) == highest);
}
