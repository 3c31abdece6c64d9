#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

struct WriteCase
{
  KeyValueFault fault;
  Duration delay;
  WriteOutcome outcome;
  // Whether the write has taken effect at its deadline, and a minute later.
  bool writtenAtDeadline;
  bool writtenLater;
};

Task<void>
Put(FakeKeyValue& aService,
    PutRequest aPut,
    TimePoint aDeadline,
    WriteResult& aOut)
{
  FailureReason reason;
  aOut = co_await aService.Put(aPut, aDeadline, reason);
}

Task<void>
Watch(FakeKeyValue& aService,
      TimePoint aDeadline,
      std::optional<WatchBatch>& aOut)
{
  FailureReason reason;
  aOut = co_await aService.Watch("a/", 1, aDeadline, reason);
}

Task<void>
GrantAndPut(FakeKeyValue& aService, VirtualTime& aTime, LeaseId& aLease)
{
  FailureReason reason;
  const TimePoint deadline = aTime.Now() + 1s;
  aLease = (co_await aService.GrantLease(10s, deadline, reason)).value();
  // g++ 12 destroys a braced aggregate within a co_await expression twice.
  const PutRequest put{ .key = "a/held", .value = "x", .lease = aLease };
  co_await aService.Put(put, deadline, reason);
}

} // namespace

// Guards against a fake that is kinder than the service: a write that failed
// for its caller but took effect, or the reverse.
SCENARIO("a fake key-value service fails by its table", "[fake]")
{
  VirtualTime time;
  FakeKeyValue service(time);
  const TimePoint start = time.Now();

  GIVEN("each fault of a write")
  {
    const auto row = GENERATE(values<WriteCase>({
      { KeyValueFault::Down, 0s, WriteOutcome::NotSent, false, false },
      { KeyValueFault::Silent, 0s, WriteOutcome::Unknown, false, false },
      { KeyValueFault::Slow, 300ms, WriteOutcome::Applied, true, true },
      { KeyValueFault::Slow, 30s, WriteOutcome::Unknown, false, true },
      { KeyValueFault::AnswerLost, 0s, WriteOutcome::Unknown, true, true },
      { KeyValueFault::QuietWatch, 0s, WriteOutcome::Applied, true, true },
    }));
    CAPTURE(NameOf(row.fault), row.delay.count());
    service.AddFault({ row.fault, start, start + 1s, row.delay });
    WriteResult result;
    time.Spawn(
      Put(service, { .key = "a/1", .value = "x" }, start + 1s, result));
    time.RunUntil(start + 1s);
    THEN("the caller's outcome and the effect are as the table says")
    {
      CHECK(result.outcome == row.outcome);
      CHECK(service.Peek("a/1").has_value() == row.writtenAtDeadline);
      time.RunUntil(start + 1min);
      CHECK(service.Peek("a/1").has_value() == row.writtenLater);
    }
  }
  GIVEN("a watch and a later write from another connection")
  {
    FakeKeyValue other = service.Connect();
    std::optional<WatchBatch> batch;
    WriteResult result;
    WHEN("nothing is wrong")
    {
      time.Spawn(Watch(service, start + 10s, batch));
      time.RunUntil(start + 1s);
      REQUIRE_FALSE(batch);
      time.Spawn(
        Put(other, { .key = "a/1", .value = "x" }, start + 2s, result));
      time.RunUntil(start + 2s);
      THEN("the watch reports the change at once")
      {
        REQUIRE(batch);
        REQUIRE(batch->events.size() == 1);
        CHECK(batch->events[0].entry.value == "x");
        CHECK(batch->nextRevision == result.revision + 1);
        CHECK(service.Count(KeyValueCall::Watch) == 1);
        CHECK(service.CountAll() == 2);
      }
    }
    WHEN("the watch is quiet")
    {
      service.AddLinkFault({ KeyValueFault::QuietWatch, start });
      time.Spawn(Watch(service, start + 10s, batch));
      time.Spawn(
        Put(other, { .key = "a/1", .value = "x" }, start + 2s, result));
      time.RunUntil(start + 9s);
      CHECK_FALSE(batch);
      time.RunUntil(start + 10s);
      THEN("it ends empty and claims no progress")
      {
        REQUIRE(batch);
        CHECK(batch->events.empty());
        CHECK(batch->nextRevision == 1);
      }
    }
  }
  GIVEN("a key under a lease")
  {
    LeaseId lease = 0;
    time.Spawn(GrantAndPut(service, time, lease));
    time.RunUntil(start + 1s);
    REQUIRE(service.Peek("a/held"));
    WHEN("nobody renews the lease")
    {
      time.RunUntil(start + 11s);
      THEN("the key is gone, and a write under the lease is refused")
      {
        CHECK_FALSE(service.Peek("a/held"));
        WriteResult result;
        time.Spawn(Put(service,
                       { .key = "a/2", .value = "x", .lease = lease },
                       start + 20s,
                       result));
        time.RunUntil(start + 20s);
        CHECK(result.outcome == WriteOutcome::NotSent);
        CHECK_FALSE(service.Peek("a/2"));
      }
    }
    WHEN("the table ends it early")
    {
      service.AddFault({ .fault = KeyValueFault::LeaseLapsed,
                         .from = start + 2s,
                         .keyPrefix = "a/" });
      time.RunUntil(start + 3s);
      THEN("the key is gone")
      {
        CHECK_FALSE(service.Peek("a/held"));
      }
    }
  }
}
