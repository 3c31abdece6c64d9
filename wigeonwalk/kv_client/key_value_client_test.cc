#include "wigeonwalk/kv_client/key_value_client.h"
#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Client = KeyValueClient<FakeKeyValue, VirtualTime>;
static_assert(KeyValueService<Client::Handle>);

struct Outcome
{
  WriteResult result;
  FailureReason reason;
  std::optional<TimePoint> endedAt;
};

Task<void>
Put(Client& aClient,
    VirtualTime& aTime,
    PutRequest aPut,
    Duration aTimeout,
    Outcome& aOut)
{
  auto handle = aClient.For(KeyValueUser::Claims);
  const TimePoint deadline = aTime.Now() + aTimeout;
  aOut.result = co_await handle.Put(aPut, deadline, aOut.reason);
  aOut.endedAt = aTime.Now();
}

Task<void>
Get(Client& aClient,
    VirtualTime& aTime,
    KeyValueUser aUser,
    Duration aTimeout,
    std::optional<ReadResult>& aOut,
    FailureReason& aReason)
{
  auto handle = aClient.For(aUser);
  const TimePoint deadline = aTime.Now() + aTimeout;
  aOut = co_await handle.Get("a", deadline, aReason);
}

Task<void>
Watch(Client& aClient, TimePoint aDeadline, std::optional<WatchBatch>& aOut)
{
  auto handle = aClient.For(KeyValueUser::Documents);
  FailureReason reason;
  aOut = co_await handle.Watch("a", 1, aDeadline, reason);
}

struct LostCase
{
  const char* name;
  KeyValueFault fault;
  Duration delay;
  Duration duration;
  // Value that another writer stores meanwhile, or nullptr.
  const char* concurrentValue;
  WriteOutcome outcome;
  const char* finalValue;
};

} // namespace

// Guards against a write that took effect but is reported as not made, that is
// made twice, or that is sent again and overwrites a later write.
SCENARIO("the client determines the outcome of writes whose answers are lost",
         "[client]")
{
  VirtualTime time;
  const TimePoint start = time.Now();
  FakeKeyValue service(time);
  Client client(service, time, {});
  const auto row = GENERATE(values<LostCase>({
    { "no fault",
      KeyValueFault::QuietWatch,
      0s,
      1s,
      nullptr,
      WriteOutcome::Applied,
      "ours" },
    { "answer lost",
      KeyValueFault::AnswerLost,
      0s,
      1ms,
      nullptr,
      WriteOutcome::Applied,
      "ours" },
    { "answer lost, then overwritten",
      KeyValueFault::AnswerLost,
      0s,
      1ms,
      "other",
      WriteOutcome::Unknown,
      "other" },
    { "request lost",
      KeyValueFault::Silent,
      0s,
      1ms,
      nullptr,
      WriteOutcome::Applied,
      "ours" },
    { "handled after the attempt timed out",
      KeyValueFault::Slow,
      1500ms,
      1ms,
      nullptr,
      WriteOutcome::Applied,
      "ours" },
    { "answers lost until after the deadline",
      KeyValueFault::AnswerLost,
      0s,
      10s,
      nullptr,
      WriteOutcome::Unknown,
      "ours" },
    { "refused",
      KeyValueFault::Down,
      0s,
      10s,
      nullptr,
      WriteOutcome::NotSent,
      "old" },
  }));
  CAPTURE(row.name);
  const std::int64_t revision = service.Store("a", "old");
  service.AddFault({ row.fault, start, start + row.duration, row.delay });
  Outcome outcome;
  time.Spawn(Put(client,
                 time,
                 { .key = "a", .value = "ours", .expectedRevision = revision },
                 3s,
                 outcome));
  if (row.concurrentValue) {
    // After the write, which took effect after 1 ms, and before the read-back.
    time.RunUntil(start + 1ms);
    service.Store("a", row.concurrentValue);
  }
  time.RunUntil(start + 5s);
  REQUIRE(outcome.endedAt);
  CHECK(NameOf(outcome.result.outcome) == NameOf(row.outcome));
  CHECK(*outcome.endedAt <= start + 3s);
  CHECK(service.Peek("a")->value == row.finalValue);
  // The write is sent again at most once.
  CHECK(service.Count(KeyValueCall::Put) <= 2);
  // "ours" was written once: the expected revision makes a second copy fail.
  CHECK(service.Peek("a")->modRevision <=
        revision + 1 + (row.concurrentValue ? 1 : 0));
}

// Guards against callers that wait for a service that is down, and against
// flooding it with calls.
SCENARIO("the client blocks calls while the service is down", "[client]")
{
  VirtualTime time;
  const TimePoint start = time.Now();
  FakeKeyValue service(time);
  Client client(service, time, {});
  GIVEN("a service that is silent for an hour and a claim every 100 ms")
  {
    service.AddFault({ KeyValueFault::Silent, start, start + 1h });
    std::vector<Outcome> outcomes(36'000);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      time.RunUntil(start + i * 100ms);
      time.Spawn(Put(client,
                     time,
                     { .key = "a", .value = "x", .expectedRevision = 0 },
                     300ms,
                     outcomes[i]));
    }
    time.RunUntil(start + 1h + 10s);
    THEN("each ends within 300 ms and the service gets about 900 calls at most")
    {
      for (std::size_t i = 0; i < outcomes.size(); ++i) {
        REQUIRE(outcomes[i].endedAt);
        REQUIRE(*outcomes[i].endedAt <= start + i * 100ms + 300ms);
      }
      // At most one probe every 4 s, and the calls before the gate closed.
      CHECK(service.CountAll() <= 3'600 / 4 + 20);
      CHECK(outcomes.back().result.outcome == WriteOutcome::NotSent);
      CHECK(outcomes.back().reason.code == ReasonCode::Unavailable);
    }
    AND_THEN("the first call after the backoff succeeds")
    {
      Outcome later;
      time.Spawn(Put(client,
                     time,
                     { .key = "b", .value = "x", .expectedRevision = 0 },
                     300ms,
                     later));
      time.RunUntil(time.Now() + 1s);
      CHECK(later.result.outcome == WriteOutcome::Applied);
      CHECK(client.IsAvailable());
    }
  }
}

// Guards against a read that is delayed by one slow request, and against hedged
// writes.
SCENARIO("the client hedges reads once and writes never", "[client]")
{
  VirtualTime time;
  const TimePoint start = time.Now();
  FakeKeyValue service(time);
  Client client(service, time, {});
  service.Store("a", "x");
  service.AddFault({ KeyValueFault::Slow, start, start + 1ms, 800ms });
  GIVEN("a service that handles the first request after 800 ms")
  {
    std::optional<ReadResult> read;
    FailureReason reason;
    time.Spawn(Get(client, time, KeyValueUser::Claims, 1s, read, reason));
    time.RunUntil(start + 60ms);
    THEN("the second request has been answered after 52 ms")
    {
      REQUIRE(read);
      CHECK(service.CountAll() == 2);
      CHECK(client.Counts().hedges == 1);
    }
  }
  GIVEN("the same service and a write")
  {
    Outcome outcome;
    time.Spawn(Put(client, time, { .key = "a", .value = "y" }, 2s, outcome));
    time.RunUntil(start + 2s);
    THEN("it is sent once")
    {
      CHECK(outcome.result.outcome == WriteOutcome::Applied);
      CHECK(service.Count(KeyValueCall::Put) == 1);
      CHECK(client.Counts().hedges == 0);
    }
  }
}

// Guards against a change that goes unnoticed because a watch stopped reporting
// changes without an error.
SCENARIO("the client finds changes that a watch does not report", "[client]")
{
  struct Case
  {
    Duration silentFor;
    Duration maxDetectionTime;
  };
  const auto row = GENERATE(values<Case>({
    { 0s, 1s },
    { 2s, 3100ms },
    { 1h, 33s },
  }));
  CAPTURE(row.silentFor.count());
  VirtualTime time;
  const TimePoint start = time.Now();
  FakeKeyValue service(time);
  Client client(service, time, {});
  service.AddFault({ KeyValueFault::QuietWatch, start, start + row.silentFor });
  std::optional<WatchBatch> batch;
  time.Spawn(Watch(client, start + 2min, batch));
  time.RunUntil(start + 500ms);
  CHECK(client.PendingWatches() == 1);
  service.Store("a", "x");
  time.RunUntil(start + row.maxDetectionTime);
  REQUIRE(batch);
  REQUIRE(batch->events.size() == 1);
  CHECK(batch->events[0].entry.value == "x");
  CHECK(client.PendingWatches() == 0);
  // A change that was not reported is found by the next call: a watch every 3 s
  // and a listing every 30 s.
  CHECK(service.CountAll() <= 33 / 3 + 2);
}
