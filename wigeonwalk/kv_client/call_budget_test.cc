#include "wigeonwalk/kv_client/backoff_gate.h"
#include "wigeonwalk/kv_client/call_budget.h"
#include "wigeonwalk/kv_client/read_back.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 24h };

// Takes as many calls as the budget allows one user within a span of time, and
// returns their number.
std::uint32_t
TakeAll(CallBudget& aBudget,
        KeyValueUser aUser,
        TimePoint aFrom,
        Duration aSpan)
{
  std::uint32_t taken = 0;
  for (TimePoint now = aFrom; now < aFrom + aSpan;) {
    const auto availableAt = aBudget.Take(aUser, now);
    taken += availableAt ? 0 : 1;
    now = availableAt.value_or(now);
  }
  return taken;
}

} // namespace

// Guards against a fleet that sends more calls than the service can answer, and
// against claims that wait behind users of lower priority.
SCENARIO("a call budget limits and prioritises a daemon's calls", "[budget]")
{
  GIVEN("the rates for the target fleet and for today's fleet")
  {
    const BudgetRate target = BudgetFor(350, 0);
    THEN("350 daemons with 48 claim shards stay under 2,000 calls a second")
    {
      CHECK(350 * target.callsPerSecond + 48 * kCallsPerClaimShard <= 1'300);
      CHECK(BudgetFor(6, 8).callsPerSecond == 148);
    }
  }
  GIVEN("a budget of 10 calls a second and a burst of 20")
  {
    CallBudget budget({ 10, 20 }, kStart);
    WHEN("all users try to take more")
    {
      std::uint32_t taken = 0;
      for (const UserRule& rule : kUserRules) {
        CallBudget fresh({ 10, 20 }, kStart);
        const std::uint32_t alone = TakeAll(fresh, rule.user, kStart, 60s);
        CAPTURE(NameOf(rule.user));
        CHECK(alone <= 60 * 10 + 20 + 1);
        CHECK(alone >= 60 * 10 * 3 / 4);
      }
      for (TimePoint now = kStart; now < kStart + 60s; now += 10ms) {
        for (const UserRule& rule : kUserRules) {
          taken += budget.Take(rule.user, now) ? 0 : 1;
        }
      }
      THEN("together they get the rate and no more than the burst on top")
      {
        CHECK(taken <= 60 * 10 + 20 + kKeyValueUsers);
        CHECK(taken >= 60 * 10);
      }
    }
    WHEN("operators take all that they may")
    {
      while (!budget.Take(KeyValueUser::Operators, kStart)) {
      }
      THEN("half of the burst is left for claims")
      {
        std::uint32_t claims = 0;
        while (!budget.Take(KeyValueUser::Claims, kStart)) {
          ++claims;
        }
        CHECK(claims >= 10);
        CHECK(budget.Take(KeyValueUser::Leases, kStart) == std::nullopt);
      }
    }
    WHEN("an outage has ended")
    {
      budget.DropBurst(kStart);
      THEN("one call is allowed at once and the next one at the rate")
      {
        CHECK_FALSE(budget.Take(KeyValueUser::Claims, kStart));
        const auto availableAt = budget.Take(KeyValueUser::Claims, kStart);
        REQUIRE(availableAt);
        CHECK(*availableAt >= kStart + 100ms);
      }
    }
  }
}

// Guards against 350 daemons that all call a recovered service at once.
SCENARIO("a backoff gate spreads the probes of many daemons", "[backoff]")
{
  GIVEN("350 daemons whose service has been down for a minute")
  {
    std::map<std::int64_t, std::uint32_t> perSecond;
    for (std::uint64_t seed = 0; seed < 350; ++seed) {
      BackoffGate gate(seed);
      for (TimePoint now = kStart; now < kStart + 120s; now += 10ms) {
        if (gate.Admit(now) != GateAdmission::Closed) {
          gate.RecordFailure(now);
          ++perSecond[(now - kStart) / 1s];
        }
      }
    }
    THEN("after the first 15 s, no second has more than 120 probes")
    {
      for (const auto& [second, probes] : perSecond) {
        CAPTURE(second);
        CHECK((second < 15 || probes <= 120));
      }
    }
  }
  GIVEN("one closed gate")
  {
    BackoffGate gate(7);
    CHECK_FALSE(gate.RecordFailure(kStart));
    CHECK_FALSE(gate.RecordFailure(kStart));
    CHECK(gate.Admit(kStart) == GateAdmission::Open);
    REQUIRE(gate.RecordFailure(kStart));
    THEN("failures of calls sent before it closed change nothing")
    {
      const TimePoint retryAt = gate.RetryAt();
      CHECK_FALSE(gate.RecordFailure(kStart + 1ms));
      CHECK(gate.RetryAt() == retryAt);
      AND_THEN("one probe is admitted when due, and its success opens the gate")
      {
        CHECK(gate.Admit(retryAt) == GateAdmission::Probe);
        CHECK(gate.Admit(retryAt) == GateAdmission::Closed);
        CHECK(gate.RecordSuccess(retryAt + 2ms));
        CHECK(gate.Admit(retryAt + 2ms) == GateAdmission::Open);
      }
    }
  }
}

// Guards against reporting a write whose answer was lost as applied or as not
// applied without proof.
SCENARIO("a read shows the outcome of a write whose answer was lost",
         "[read-back]")
{
  struct Case
  {
    std::optional<std::int64_t> expected;
    std::int64_t revision;
    const char* value;
    ReadBackResult readBackResult;
  };
  const auto row = GENERATE(values<Case>({
    { 0, 0, "", ReadBackResult::Unchanged },
    { 0, 9, "ours", ReadBackResult::Applied },
    { 0, 9, "other", ReadBackResult::Superseded },
    { 5, 5, "old", ReadBackResult::Unchanged },
    { 5, 5, "ours", ReadBackResult::Unchanged },
    { 5, 9, "ours", ReadBackResult::Applied },
    { 5, 9, "other", ReadBackResult::Superseded },
    { 5, 0, "", ReadBackResult::Superseded },
    { std::nullopt, 9, "ours", ReadBackResult::Applied },
    { std::nullopt, 9, "other", ReadBackResult::Superseded },
    { std::nullopt, 0, "", ReadBackResult::Superseded },
  }));
  CAPTURE(row.expected.value_or(-1), row.revision, row.value);
  const PutRequest put{ .key = "a",
                        .value = "ours",
                        .expectedRevision = row.expected };
  std::optional<KeyValueEntry> now;
  if (row.revision != 0) {
    now = KeyValueEntry{ "a", row.value, 1, row.revision, 0 };
  }
  CHECK(NameOf(ResolvePut(put, now)) == NameOf(row.readBackResult));
}
