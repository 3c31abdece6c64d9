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
  // Whether the write has taken effect by its deadline, and a minute later.
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
  // Named, as g++ 12 destroys a braced aggregate in a co_await expression
  // twice.
  const PutRequest put{ .key = "a/held", .value = "x", .lease = aLease };
  co_await aService.Put(put, deadline, reason);
}

} // namespace

// Guards against a fake that is more lenient than the real service: a write may
// fail for its caller and still take effect, or have no effect at all.
SCENARIO("a fake key-value service follows its fault table", "[fake]")
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
    THEN("the outcome for the caller and the effect match the fault")
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
    WHEN("no fault is set")
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
      THEN("it ends without events and does not advance the revision")
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
    WHEN("the lease is not renewed")
    {
      time.RunUntil(start + 11s);
      THEN("the key is deleted, and a write under the lease is refused")
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
    WHEN("a fault makes the lease lapse early")
    {
      service.AddFault({ .fault = KeyValueFault::LeaseLapsed,
                         .from = start + 2s,
                         .keyPrefix = "a/" });
      time.RunUntil(start + 3s);
      THEN("the key is deleted")
      {
        CHECK_FALSE(service.Peek("a/held"));
      }
    }
  }
}

// Guards against a fake whose restore keeps what a real one loses.
SCENARIO("a fake key-value service is restored from a copy", "[fake]")
{
  VirtualTime time;
  FakeKeyValue service(time);
  const TimePoint start = time.Now();
  const std::int64_t before = service.Store("a/1", "old");
  service.TakeCopy();
  const std::int64_t lost = service.Store("a/1", "new");
  LeaseId lease = 0;
  time.Spawn(GrantAndPut(service, time, lease));
  std::optional<WatchBatch> batch;
  time.RunUntil(start + 1s);
  service.RestoreCopy();

  THEN("later writes and leases are gone, and revisions still rise")
  {
    CHECK(service.Peek("a/1")->value == "old");
    CHECK(NumberOf(service.Peek("a/1")->modRevision) == before);
    CHECK(service.Peek("a/1")->modRevision > lost);
    CHECK_FALSE(service.Peek("a/held"));
    WriteResult result;
    time.Spawn(Put(service,
                   { .key = "a/2", .value = "x", .lease = lease },
                   start + 2s,
                   result));
    time.RunUntil(start + 2s);
    CHECK(result.outcome == WriteOutcome::NotSent);
  }

  THEN("a write that expects a lost revision conflicts, and a watch is stale")
  {
    WriteResult result;
    time.Spawn(Put(service,
                   { .key = "a/1", .value = "x", .expectedRevision = lost },
                   start + 2s,
                   result));
    time.Spawn(Watch(service, start + 9s, batch));
    time.RunUntil(start + 10s);
    CHECK(result.outcome == WriteOutcome::Conflict);
    CHECK_FALSE(batch);
  }
}
