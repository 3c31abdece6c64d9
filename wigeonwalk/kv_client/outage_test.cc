#include "wigeonwalk/kv_client/key_value_client.h"
#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Client = KeyValueClient<FakeKeyValue, VirtualTime>;
using Handle = Client::Handle;

constexpr std::uint32_t kDaemons = 350;
constexpr std::uint32_t kClaimShards = 48;
constexpr std::uint32_t kWatchers = 18;
constexpr std::uint32_t kLeases = 31;

// One daemon of the target fleet. Its number determines which users it has.
struct Daemon
{
  Daemon(VirtualTime& aTime,
         const FakeKeyValue& aService,
         std::uint32_t aNumber)
    : number(aNumber)
    , service(aService.Connect())
    , client(service,
             aTime,
             { .seed = aNumber,
               .budget = BudgetFor(kDaemons, aNumber < kClaimShards ? 1 : 0) })
    , leases(client.For(KeyValueUser::Leases))
    , keeper(leases,
             aTime,
             { "lease/" + std::to_string(aNumber % kLeases),
               std::to_string(aNumber) })
  {
  }

  std::uint32_t number;
  FakeKeyValue service;
  Client client;
  Handle leases;
  LeaseKeeper<Handle, VirtualTime> keeper;
  // Claim batches, by outcome.
  std::set<std::string> applied;
  std::set<std::string> notSent;
  std::uint32_t unknown = 0;
  // Answers received after the caller's deadline.
  std::uint32_t lateAnswers = 0;
  TimePoint lastApplied;
  TimePoint lastRead;
  std::string document;
};

// Appends one batch to the daemon's shard every second.
Task<void>
AppendClaims(Daemon& aDaemon, VirtualTime& aTime, TimePoint aEnd)
{
  Handle handle = aDaemon.client.For(KeyValueUser::Claims);
  PutRequest put{ .key = "claims/" + std::to_string(aDaemon.number),
                  .expectedRevision = 0 };
  for (int batch = 0; aTime.Now() < aEnd; ++batch) {
    put.value = put.key + "#" + std::to_string(batch);
    FailureReason reason;
    const TimePoint deadline = aTime.Now() + 300ms;
    const WriteResult result = co_await handle.Put(put, deadline, reason);
    aDaemon.lateAnswers += aTime.Now() > deadline ? 1 : 0;
    if (result.outcome == WriteOutcome::Applied) {
      put.expectedRevision = result.revision;
      aDaemon.applied.insert(put.value);
      aDaemon.lastApplied = aTime.Now();
    } else if (result.outcome == WriteOutcome::NotSent) {
      aDaemon.notSent.insert(put.value);
    } else {
      ++aDaemon.unknown;
      const auto read = co_await handle.Get(put.key, deadline + 1s, reason);
      if (read && read->entry) {
        put.expectedRevision = read->entry->modRevision;
      }
    }
    co_await aTime.WaitUntil(deadline + 700ms);
  }
}

Task<void>
WatchDocument(Daemon& aDaemon, VirtualTime& aTime, TimePoint aEnd)
{
  Handle handle = aDaemon.client.For(KeyValueUser::Documents);
  std::int64_t revision = 1;
  while (aTime.Now() < aEnd) {
    FailureReason reason;
    const auto batch =
      co_await handle.Watch("documents/", revision, aTime.Now() + 60s, reason);
    if (!batch) {
      co_await aTime.WaitUntil(aTime.Now() + 500ms);
      continue;
    }
    revision = batch->nextRevision;
    for (const WatchEvent& event : batch->events) {
      aDaemon.document = event.entry.value;
    }
  }
}

Task<void>
ReadForOperators(Daemon& aDaemon, VirtualTime& aTime, TimePoint aEnd)
{
  Handle handle = aDaemon.client.For(KeyValueUser::Operators);
  co_await aTime.WaitUntil(aTime.Now() + aDaemon.number * 5s / kDaemons);
  while (aTime.Now() < aEnd) {
    FailureReason reason;
    const TimePoint next = aTime.Now() + 5s;
    if (co_await handle.Get("documents/a", next, reason)) {
      aDaemon.lastRead = aTime.Now();
    }
    co_await aTime.WaitUntil(next);
  }
}

struct OutageCase
{
  const char* name;
  KeyValueFault fault;
  Duration delay;
  Duration duration;
  // Maximum average rate of calls during the fault, per second.
  double maxCallsPerSecond;
  // Maximum time after the fault until all users work again.
  Duration maxRecoveryTime;
};

} // namespace

// Guards against retries that multiply calls during an outage, a recovery that
// floods the service, and a claim whose outcome is misreported. The service can
// answer about 2,000 calls a second; 1,288 is the budget of the fleet
// (call_budget.h).
SCENARIO("the target fleet survives faults of the service", "[outage]")
{
  const auto row = GENERATE(values<OutageCase>({
    { "none", KeyValueFault::Down, 0s, 0s, 1'288, 10s },
    { "down for an hour", KeyValueFault::Down, 0s, 1h, 350.0 / 4, 16s },
    { "silent", KeyValueFault::Silent, 0s, 60s, 350.0 / 2, 16s },
    { "slow", KeyValueFault::Slow, 250ms, 60s, 1'288, 16s },
    { "very slow", KeyValueFault::Slow, 5s, 60s, 350.0 / 2, 16s },
    { "answers lost", KeyValueFault::AnswerLost, 0s, 60s, 350.0 / 2, 16s },
    { "quiet watch", KeyValueFault::QuietWatch, 0s, 60s, 1'288, 16s },
    { "leases lapse", KeyValueFault::LeaseLapsed, 0s, 0s, 1'288, 16s },
  }));
  VirtualTime time;
  const TimePoint faultAt = time.Now() + 30s;
  const TimePoint faultEnd = faultAt + row.duration;
  const TimePoint end = faultEnd + 30s;
  FakeKeyValue service(time);
  service.Store("documents/a", "first");
  service.AddFault({ row.fault,
                     faultAt,
                     faultEnd,
                     row.delay,
                     row.fault == KeyValueFault::LeaseLapsed ? "lease/" : "" });
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::uint32_t number = 0; number < kDaemons; ++number) {
    daemons.push_back(std::make_unique<Daemon>(time, service, number));
    Daemon& daemon = *daemons.back();
    time.Spawn(ReadForOperators(daemon, time, end));
    if (number < kClaimShards) {
      time.Spawn(AppendClaims(daemon, time, end));
    }
    if (number < kWatchers) {
      time.Spawn(WatchDocument(daemon, time, end));
    }
    if (number < 2 * kLeases) {
      time.Spawn(daemon.keeper.Run());
    }
  }
  time.RunUntil(faultEnd);
  service.Store("documents/a", "second");
  const TimePoint recovered = faultEnd + row.maxRecoveryTime;
  time.RunUntil(recovered);

  const double callsPerSecond =
    row.duration == 0s
      ? 0
      : static_cast<double>(service.CountBetween(faultAt, faultEnd)) /
          ToSeconds(row.duration);
  std::cout << "outage '" << row.name << "': " << callsPerSecond
            << " calls/s during, peak " << service.PeakPerSecond()
            << " calls/s, after it "
            << service.CountBetween(faultEnd, recovered) /
                 ToSeconds(row.maxRecoveryTime)
            << " calls/s\n";
  CAPTURE(row.name);
  CHECK(callsPerSecond <= row.maxCallsPerSecond);
  CHECK(service.PeakPerSecond() <= 2'000);

  std::set<std::string> written;
  std::uint32_t writtenTwice = 0;
  for (const WatchEvent& event : service.Changes("claims/")) {
    writtenTwice += written.insert(event.entry.value).second ? 0 : 1;
  }
  CHECK(writtenTwice == 0);
  std::set<std::uint32_t> heldLeases;
  for (const auto& daemon : daemons) {
    CAPTURE(daemon->number);
    CHECK(daemon->lastRead >= recovered - 10s);
    if (daemon->number < kClaimShards) {
      CHECK(daemon->lastApplied >= recovered - 2s);
    }
    if (daemon->number < kWatchers) {
      CHECK(daemon->document == "second");
    }
    CHECK(daemon->lateAnswers == 0);
    CHECK(std::includes(written.begin(),
                        written.end(),
                        daemon->applied.begin(),
                        daemon->applied.end()));
    std::set<std::string> writtenThoughNotSent;
    std::set_intersection(
      written.begin(),
      written.end(),
      daemon->notSent.begin(),
      daemon->notSent.end(),
      std::inserter(writtenThoughNotSent, writtenThoughNotSent.end()));
    CHECK(writtenThoughNotSent.empty());
    if (daemon->keeper.FencingNumber()) {
      CHECK(heldLeases.insert(daemon->number % kLeases).second);
    }
  }
  CHECK(heldLeases.size() == kLeases);
}
