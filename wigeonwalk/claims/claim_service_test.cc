#include "wigeonwalk/claims/claim_service.h"
#include "wigeonwalk/claims/internal/fake_key_value.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Client = FakeKeyValueClient<FakeKeyValue<>>;

// One daemon with its claim service.
struct Daemon
{
  Daemon(VirtualTime& aTime, FakeKeyValue<>& aService, const char* aName)
    : process(aTime)
    , client(aService, this->process)
    , log(this->client,
          this->process,
          aTime.Context().get_executor(),
          HostId(aName),
          1)
    , claims(this->log, this->process)
  {
  }

  FakeProcess process;
  Client client;
  ClaimLog<Client, FakeProcess> log;
  ClaimService<Client, FakeProcess> claims;
};

struct Fixture
{
  explicit Fixture(KeyValueFaults aFaults = {})
    : service(this->time, 11, std::move(aFaults))
    , first(this->time, this->service, "isar-1")
    , second(this->time, this->service, "lech-1")
  {
  }

  // Claims a key at a daemon, returns the answer and sets `elapsed`.
  ClaimResult Claim(Daemon& aDaemon, ClaimedCall aCall)
  {
    std::optional<ClaimResult> result;
    const TimePoint start = this->time.Now();
    this->time.Spawn(ClaimInto(aDaemon, std::move(aCall), result));
    while (!result) {
      this->time.RunUntil(this->time.Now() + 1ms);
    }
    this->elapsed = this->time.Now() - start;
    return *result;
  }

  static Task<void> ClaimInto(Daemon& aDaemon,
                              ClaimedCall aCall,
                              std::optional<ClaimResult>& aResult)
  {
    aResult = co_await aDaemon.claims.Claim(std::move(aCall));
  }

  ClaimedCall Call(const char* aKey, std::string_view aBody = "two pickups")
  {
    return { OrganisationId("tofu-lenga"),
             ServiceName("order"),
             aKey,
             this->keyCreated,
             aBody };
  }
  void AdvanceTime(Duration aDuration)
  {
    this->time.RunUntil(this->time.Now() + aDuration);
  }

  VirtualTime time;
  TimePoint keyCreated = this->time.Now();
  Duration elapsed{};
  FakeKeyValue<> service;
  Daemon first;
  Daemon second;
};

struct RefusedCase
{
  const char* description;
  const char* key;
  std::optional<Duration> age;
  ClaimAnswer answer;
};

const RefusedCase kRefused[] = {
  { "no key", "", 0s, ClaimAnswer::MissingKey },
  { "a key without creation time", "order-17", {}, ClaimAnswer::MissingKey },
  { "a key older than the window", "order-17", 571s, ClaimAnswer::KeyTooOld },
  { "a key from the future", "order-17", -31s, ClaimAnswer::KeyTooNew },
  { "a version 7 UUID that is in the future and a header that is not",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
    0s,
    ClaimAnswer::KeyTooNew },
};

struct FailureCase
{
  const char* description;
  ReasonCode code;
  RequestProgress progress;
  bool released;
};

constexpr FailureCase kFailures[] = {
  { "was refused a connection",
    ReasonCode::ConnectRefused,
    RequestProgress::ByteSent,
    true },
  { "was refused before the run",
    ReasonCode::RefusedBeforeRun,
    RequestProgress::ByteSent,
    true },
  { "was cancelled before its first byte",
    ReasonCode::Cancelled,
    RequestProgress::NothingSent,
    true },
  { "was cancelled after its first byte",
    ReasonCode::Cancelled,
    RequestProgress::ByteSent,
    false },
  { "timed out",
    ReasonCode::ResponseTimeout,
    RequestProgress::ByteSent,
    false },
  { "got a 5xx",
    ReasonCode::StatusServerError,
    RequestProgress::ByteSent,
    false },
};

} // namespace

// Guards I5 and I6 as a caller sees them: a retried booking runs again, or its
// caller gets a wrong verdict.
SCENARIO("a booking is claimed before it runs", "[claims]")
{
  Fixture fixture;

  GIVEN("a booking that was granted at one daemon")
  {
    const ClaimResult granted = fixture.Claim(fixture.first, fixture.Call("a"));
    REQUIRE(granted.answer == ClaimAnswer::Granted);
    CHECK(fixture.elapsed < 50ms);

    for (Daemon* daemon : { &fixture.first, &fixture.second }) {
      WHEN("its caller retries it at daemon " +
           std::string(daemon == &fixture.first ? "one" : "two"))
      {
        const ClaimResult again = fixture.Claim(*daemon, fixture.Call("a"));
        THEN("the verdict is that it may have run")
        {
          CHECK(again.answer == ClaimAnswer::Duplicate);
          CHECK(again.verdict == Verdict::MayHaveRun);
          CHECK(again.code == ReasonCode::ClaimUnknown);
        }
      }
    }
    WHEN("its key is sent with another body")
    {
      const ClaimResult other =
        fixture.Claim(fixture.second, fixture.Call("a", "x"));
      THEN("that call is refused as a conflict and was not run")
      {
        CHECK(other.answer == ClaimAnswer::OtherBody);
        CHECK(other.verdict == Verdict::NotRun);
        CHECK(other.code == ReasonCode::Conflict);
      }
    }
    WHEN("its key is sent with another creation time")
    {
      fixture.keyCreated += 60s;
      fixture.AdvanceTime(60s);
      THEN("that call is refused, because its key would outlive the claim")
      {
        CHECK(fixture.Claim(fixture.second, fixture.Call("a")).answer ==
              ClaimAnswer::OtherBody);
      }
    }
    WHEN("it ran and its answer is known")
    {
      fixture.first.claims.Finish(
        granted.grant, Verdict::Ran, FirstAnswer{ 201, "text/plain", "ok" });
      fixture.AdvanceTime(1s);
      THEN("the same daemon returns the stored answer")
      {
        const ClaimResult again =
          fixture.Claim(fixture.first, fixture.Call("a"));
        REQUIRE(again.firstAnswer.has_value());
        CHECK(again.firstAnswer->body == "ok");
        CHECK(again.verdict == Verdict::Ran);
      }
      THEN("another daemon returns its verdict and status")
      {
        const ClaimResult again =
          fixture.Claim(fixture.second, fixture.Call("a"));
        CHECK(again.answer == ClaimAnswer::Duplicate);
        CHECK(again.verdict == Verdict::Ran);
        CHECK(again.status == 201);
        CHECK(again.code == ReasonCode::AlreadyExists);
      }
    }
    WHEN("its daemon is paused until long after the window")
    {
      fixture.first.process.PauseUntil(fixture.time.Now() + 30min);
      fixture.AdvanceTime(20min);
      THEN("no other call is granted the key")
      {
        CHECK(fixture.Claim(fixture.second, fixture.Call("a")).answer ==
              ClaimAnswer::KeyTooOld);
      }
    }
    for (const FailureCase& failure : kFailures) {
      WHEN(std::string("the call ") + failure.description)
      {
        CHECK(fixture.first.claims.Release(
                granted.grant, failure.code, failure.progress) ==
              failure.released);
        fixture.AdvanceTime(1s);
        THEN("its key is " +
             std::string(failure.released ? "free" : "still held"))
        {
          const ClaimResult again =
            fixture.Claim(fixture.second, fixture.Call("a"));
          CHECK(again.answer == (failure.released ? ClaimAnswer::Granted
                                                  : ClaimAnswer::Duplicate));
        }
      }
    }
    WHEN("it is released and retried at once")
    {
      fixture.first.claims.Release(granted.grant,
                                   ReasonCode::ConnectRefused,
                                   RequestProgress::NothingSent);
      THEN("it is granted again")
      {
        CHECK(fixture.Claim(fixture.first, fixture.Call("a")).answer ==
              ClaimAnswer::Granted);
      }
    }
  }
  for (const RefusedCase& refused : kRefused) {
    GIVEN(std::string("a call with ") + refused.description)
    {
      fixture.AdvanceTime(1h);
      ClaimedCall call = fixture.Call(refused.key);
      call.keyCreatedAt.reset();
      if (refused.age) {
        call.keyCreatedAt = fixture.time.Now() - *refused.age;
      }
      const ClaimResult result = fixture.Claim(fixture.first, call);
      THEN("it is refused without a write, and the verdict is not \"not run\" "
           "if the key's claim may be forgotten already")
      {
        CHECK(result.answer == refused.answer);
        CHECK(result.verdict == (refused.answer == ClaimAnswer::KeyTooOld
                                   ? Verdict::MayHaveRun
                                   : Verdict::NotRun));
        CHECK(fixture.service.Counts().writes == 0);
      }
    }
  }
}

// Guards against bookings that hang during an outage of the key-value service,
// or that cannot be claimed after it.
SCENARIO("the key-value service is down", "[claims]")
{
  const TimePoint start = VirtualTime().Now();
  KeyValueFaults faults;
  faults.outages = { { start + 10s, start + 60s } };
  Fixture fixture(faults);
  REQUIRE(fixture.Claim(fixture.first, fixture.Call("a")).answer ==
          ClaimAnswer::Granted);

  GIVEN("a booking during the outage")
  {
    fixture.AdvanceTime(20s);
    const ClaimResult result = fixture.Claim(fixture.first, fixture.Call("b"));
    THEN("it was not run, and its caller is told so within 300 ms")
    {
      CHECK(result.answer == ClaimAnswer::Unavailable);
      CHECK(result.verdict == Verdict::NotRun);
      CHECK(fixture.elapsed <= 300ms);
      CHECK(result.waited == fixture.elapsed);
      CHECK(result.limit == 300ms);
    }
    THEN("a duplicate of an earlier booking still gets its verdict")
    {
      CHECK(fixture.Claim(fixture.first, fixture.Call("a")).verdict ==
            Verdict::MayHaveRun);
    }
    THEN("it is granted after the outage")
    {
      fixture.AdvanceTime(45s);
      CHECK(fixture.Claim(fixture.first, fixture.Call("b")).answer ==
            ClaimAnswer::Granted);
    }
  }
  GIVEN("a write that took effect although its answer was lost")
  {
    KeyValueFaults lost;
    lost.lostAnswerProbability = 1;
    Fixture silent(lost);
    const ClaimResult result = silent.Claim(silent.first, silent.Call("c"));
    THEN("its batch is found when the tail is read, and the claim is granted")
    {
      CHECK(result.answer == ClaimAnswer::Granted);
      CHECK(silent.first.log.Counts().unknownWrites == 1);
    }
  }
}

// Guards against treating a corrupt log as an empty one, which would grant its
// keys again.
SCENARIO("a segment is corrupt", "[claims]")
{
  Fixture fixture;
  const ClaimKey key =
    ClaimKeyOf(OrganisationId("tofu-lenga"), ServiceName("order"), "a");
  const PutRequest damage{ SegmentKey(ShardOf(key), 0), "1obAA", 0, 0 };
  FailureReason reason;
  fixture.time.Spawn([](FakeKeyValue<>& aService,
                        PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason) -> Task<void> {
    co_await aService.Put(aPut, aDeadline, aReason);
  }(fixture.service, damage, fixture.time.Now() + 1s, reason));
  fixture.AdvanceTime(1s);

  GIVEN("a booking in the shard of that segment")
  {
    const ClaimResult result = fixture.Claim(fixture.first, fixture.Call("a"));
    THEN("it is refused as not run, and the corruption is counted")
    {
      CHECK(result.answer == ClaimAnswer::Unavailable);
      CHECK(result.verdict == Verdict::NotRun);
      CHECK(fixture.first.log.Counts().corruptLoads > 0);
    }
  }
}

TEST_CASE("first answers stay within their size limit", "[claims]")
{
  FirstAnswerCache answers(10'000);
  for (std::uint64_t i = 0; i < 100; ++i) {
    answers.Add({ i, i }, 7, { 200, "text/plain", std::string(1'000, 'x') });
  }
  CHECK(answers.Bytes() <= 10'000);
  CHECK(answers.Find({ 99, 99 }, 7) != nullptr);
  CHECK(answers.Find({ 99, 99 }, 8) == nullptr);
  CHECK(answers.Find({ 0, 0 }, 7) == nullptr);
}

// Guards against a value that is printed under one name and parsed under
// another, and against an answer without a rule of its own.
TEMPLATE_TEST_CASE("names of claim enumerations parse back",
                   "[enum]",
                   ClaimAnswer,
                   ClaimState,
                   KeyAge)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
  for (const ClaimAnswerRule& rule : kClaimAnswerRules) {
    CHECK(RuleOf(rule.answer).answer == rule.answer);
  }
}

// Guards against Unavailable answers while the key-value service is up. A write
// that conflicts with another daemon's write also counts as an answer.
SCENARIO("two daemons claim keys of one shard", "[claims]")
{
  Fixture fixture;
  // All in one shard.
  std::vector<std::string> keys;
  for (int i = 0; keys.size() < 6; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const ClaimKey claimed =
      ClaimKeyOf(OrganisationId("tofu-lenga"), ServiceName("order"), key);
    if (ShardOf(claimed) == 7) {
      keys.push_back(key);
    }
  }
  // Both daemons write to the shard.
  CHECK(fixture.Claim(fixture.first, fixture.Call(keys[0].c_str())).answer ==
        ClaimAnswer::Granted);
  CHECK(fixture.Claim(fixture.second, fixture.Call(keys[1].c_str())).answer ==
        ClaimAnswer::Granted);

  WHEN("claims reach both daemons just after their last writes")
  {
    std::vector<std::optional<ClaimResult>> results(4);
    for (std::size_t i = 0; i < results.size(); ++i) {
      Daemon& daemon = i % 2 == 0 ? fixture.first : fixture.second;
      fixture.time.Spawn(Fixture::ClaimInto(
        daemon, fixture.Call(keys[i + 2].c_str()), results[i]));
      fixture.AdvanceTime(1ms);
    }
    fixture.AdvanceTime(2s);

    THEN("all are granted")
    {
      for (const auto& result : results) {
        REQUIRE(result);
        CHECK(result->answer == ClaimAnswer::Granted);
      }
    }
  }
}
