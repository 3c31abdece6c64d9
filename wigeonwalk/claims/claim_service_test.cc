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

struct World
{
  explicit World(KeyValueFaults aFaults = {})
    : service(this->time, 11, std::move(aFaults))
    , first(this->time, this->service, "isar-1")
    , second(this->time, this->service, "lech-1")
  {
  }

  // Claims at a daemon and returns the answer and how long it took.
  ClaimResult Claim(Daemon& aDaemon, ClaimedCall aCall)
  {
    std::optional<ClaimResult> result;
    const TimePoint start = this->time.Now();
    this->time.Spawn(Store(aDaemon, std::move(aCall), result));
    while (!result) {
      this->time.RunUntil(this->time.Now() + 1ms);
    }
    this->took = this->time.Now() - start;
    return *result;
  }

  static Task<void> Store(Daemon& aDaemon,
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
             this->created,
             aBody };
  }
  void Wait(Duration aTime) { this->time.RunUntil(this->time.Now() + aTime); }

  VirtualTime time;
  TimePoint created = this->time.Now();
  Duration took{};
  FakeKeyValue<> service;
  Daemon first;
  Daemon second;
};

struct RefusedCase
{
  const char* story;
  const char* key;
  std::optional<Duration> age;
  ClaimAnswer answer;
};

const RefusedCase kRefused[] = {
  { "no key", "", 0s, ClaimAnswer::MissingKey },
  { "a key without its time", "order-17", {}, ClaimAnswer::MissingKey },
  { "a key beyond the window", "order-17", 571s, ClaimAnswer::KeyTooOld },
  { "a key from the future", "order-17", -31s, ClaimAnswer::KeyTooNew },
  { "a UUID of version 7 with a late header",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
    0s,
    ClaimAnswer::KeyTooNew },
};

struct EndCase
{
  const char* story;
  ReasonCode code;
  RequestProgress progress;
  bool released;
};

constexpr EndCase kEnds[] = {
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

// Guards I5 and I6 as a caller sees them: a repeated booking runs again, or its
// caller is told something untrue.
SCENARIO("a booking is claimed before it runs", "[claims]")
{
  World world;

  GIVEN("a booking that was granted at one daemon")
  {
    const ClaimResult granted = world.Claim(world.first, world.Call("a"));
    REQUIRE(granted.answer == ClaimAnswer::Granted);
    CHECK(world.took < 50ms);

    for (Daemon* daemon : { &world.first, &world.second }) {
      WHEN("its caller sends it again to daemon " +
           std::string(daemon == &world.first ? "one" : "two"))
      {
        const ClaimResult again = world.Claim(*daemon, world.Call("a"));
        THEN("it may have run")
        {
          CHECK(again.answer == ClaimAnswer::Duplicate);
          CHECK(again.verdict == Verdict::MayHaveRun);
          CHECK(again.code == ReasonCode::ClaimUnknown);
        }
      }
    }
    WHEN("its key comes back with another body")
    {
      const ClaimResult other = world.Claim(world.second, world.Call("a", "x"));
      THEN("that call conflicts and was not run")
      {
        CHECK(other.answer == ClaimAnswer::OtherBody);
        CHECK(other.verdict == Verdict::NotRun);
        CHECK(other.code == ReasonCode::Conflict);
      }
    }
    WHEN("its key comes back with another creation time")
    {
      world.created += 60s;
      world.Wait(60s);
      THEN("that call conflicts, because its key would outlive the claim")
      {
        CHECK(world.Claim(world.second, world.Call("a")).answer ==
              ClaimAnswer::OtherBody);
      }
    }
    WHEN("it ran and its answer is known")
    {
      world.first.claims.Finish(
        granted.ticket, Verdict::Ran, FirstAnswer{ 201, "text/plain", "ok" });
      world.Wait(1s);
      THEN("the same daemon repeats the answer")
      {
        const ClaimResult again = world.Claim(world.first, world.Call("a"));
        REQUIRE(again.first.has_value());
        CHECK(again.first->body == "ok");
        CHECK(again.verdict == Verdict::Ran);
      }
      THEN("another daemon knows its verdict and status")
      {
        const ClaimResult again = world.Claim(world.second, world.Call("a"));
        CHECK(again.answer == ClaimAnswer::Duplicate);
        CHECK(again.verdict == Verdict::Ran);
        CHECK(again.status == 201);
        CHECK(again.code == ReasonCode::AlreadyExists);
      }
    }
    WHEN("its daemon is paused until long after the window")
    {
      world.first.process.PauseUntil(world.time.Now() + 30min);
      world.Wait(20min);
      THEN("no other call gets the key")
      {
        CHECK(world.Claim(world.second, world.Call("a")).answer ==
              ClaimAnswer::KeyTooOld);
      }
    }
    for (const EndCase& end : kEnds) {
      WHEN(std::string("the call ") + end.story)
      {
        CHECK(world.first.claims.Release(
                granted.ticket, end.code, end.progress) == end.released);
        world.Wait(1s);
        THEN("its key is " + std::string(end.released ? "free" : "kept"))
        {
          const ClaimResult again = world.Claim(world.second, world.Call("a"));
          CHECK(again.answer ==
                (end.released ? ClaimAnswer::Granted : ClaimAnswer::Duplicate));
        }
      }
    }
    WHEN("it is released and sent again at once")
    {
      world.first.claims.Release(granted.ticket,
                                 ReasonCode::ConnectRefused,
                                 RequestProgress::NothingSent);
      THEN("it is granted again")
      {
        CHECK(world.Claim(world.first, world.Call("a")).answer ==
              ClaimAnswer::Granted);
      }
    }
  }
  for (const RefusedCase& refused : kRefused) {
    GIVEN(std::string("a call with ") + refused.story)
    {
      world.Wait(1h);
      ClaimedCall call = world.Call(refused.key);
      call.keyCreatedAt.reset();
      if (refused.age) {
        call.keyCreatedAt = world.time.Now() - *refused.age;
      }
      const ClaimResult result = world.Claim(world.first, call);
      THEN("it is refused without a write, and a key whose claim may be "
           "forgotten is not said to be not run")
      {
        CHECK(result.answer == refused.answer);
        CHECK(result.verdict == (refused.answer == ClaimAnswer::KeyTooOld
                                   ? Verdict::MayHaveRun
                                   : Verdict::NotRun));
        CHECK(world.service.Counts().writes == 0);
      }
    }
  }
}

// Guards against bookings that hang, or are lost for good, while the key-value
// service is down.
SCENARIO("the key-value service is down", "[claims]")
{
  const TimePoint start = VirtualTime().Now();
  KeyValueFaults faults;
  faults.outages = { { start + 10s, start + 60s } };
  World world(faults);
  REQUIRE(world.Claim(world.first, world.Call("a")).answer ==
          ClaimAnswer::Granted);

  GIVEN("a booking during the outage")
  {
    world.Wait(20s);
    const ClaimResult result = world.Claim(world.first, world.Call("b"));
    THEN("it was not run, and its caller knows within 300 ms")
    {
      CHECK(result.answer == ClaimAnswer::Unavailable);
      CHECK(result.verdict == Verdict::NotRun);
      CHECK(world.took <= 300ms);
      CHECK(result.waited == world.took);
      CHECK(result.limit == 300ms);
    }
    THEN("a duplicate of an earlier one still gets its verdict")
    {
      CHECK(world.Claim(world.first, world.Call("a")).verdict ==
            Verdict::MayHaveRun);
    }
    THEN("it is granted after the outage")
    {
      world.Wait(45s);
      CHECK(world.Claim(world.first, world.Call("b")).answer ==
            ClaimAnswer::Granted);
    }
  }
  GIVEN("a write that took effect although its answer was lost")
  {
    KeyValueFaults lost;
    lost.lostAnswer = 1;
    World silent(lost);
    const ClaimResult result = silent.Claim(silent.first, silent.Call("c"));
    THEN("it is read back by its batch and granted")
    {
      CHECK(result.answer == ClaimAnswer::Granted);
      CHECK(silent.first.log.Counts().unknownWrites == 1);
    }
  }
}

// Guards against a damaged log being taken for an empty one, which would grant
// its keys again.
SCENARIO("a segment is damaged", "[claims]")
{
  World world;
  const ClaimKey key =
    ClaimKeyOf(OrganisationId("tofu-lenga"), ServiceName("order"), "a");
  const PutRequest damage{ SegmentKey(ShardOf(key), 0), "1obAA", 0, 0 };
  LastReason reason;
  world.time.Spawn([](FakeKeyValue<>& aService,
                      PutRequest aPut,
                      TimePoint aDeadline,
                      LastReason& aReason) -> Task<void> {
    co_await aService.Put(aPut, aDeadline, aReason);
  }(world.service, damage, world.time.Now() + 1s, reason));
  world.Wait(1s);

  GIVEN("a booking whose shard it is in")
  {
    const ClaimResult result = world.Claim(world.first, world.Call("a"));
    THEN("it is refused as not run, and the damage is counted")
    {
      CHECK(result.answer == ClaimAnswer::Unavailable);
      CHECK(result.verdict == Verdict::NotRun);
      CHECK(world.first.log.Counts().corruptLoads > 0);
    }
  }
}

TEST_CASE("first answers stay within their bytes", "[claims]")
{
  FirstAnswers answers(10'000);
  for (std::uint64_t i = 0; i < 100; ++i) {
    answers.Add({ i, i }, 7, { 200, "text/plain", std::string(1'000, 'x') });
  }
  CHECK(answers.Bytes() <= 10'000);
  CHECK(answers.Find({ 99, 99 }, 7) != nullptr);
  CHECK(answers.Find({ 99, 99 }, 8) == nullptr);
  CHECK(answers.Find({ 0, 0 }, 7) == nullptr);
}

// Guards against a value that is printed under one name and parsed under
// another, and against an answer without its own rule.
TEMPLATE_TEST_CASE("the names of the claims' tables parse back",
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

// Guards against refusals while the key-value service is up: a write that loses
// against another daemon's was answered too.
SCENARIO("two daemons claim keys of one shard", "[claims]")
{
  World world;
  // Keys of one shard.
  std::vector<std::string> keys;
  for (int i = 0; keys.size() < 6; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const ClaimKey claimed =
      ClaimKeyOf(OrganisationId("tofu-lenga"), ServiceName("order"), key);
    if (ShardOf(claimed) == 7) {
      keys.push_back(key);
    }
  }
  // Both daemons have written there.
  CHECK(world.Claim(world.first, world.Call(keys[0].c_str())).answer ==
        ClaimAnswer::Granted);
  CHECK(world.Claim(world.second, world.Call(keys[1].c_str())).answer ==
        ClaimAnswer::Granted);

  WHEN("claims reach both just after their last writes")
  {
    std::vector<std::optional<ClaimResult>> results(4);
    for (std::size_t i = 0; i < results.size(); ++i) {
      Daemon& daemon = i % 2 == 0 ? world.first : world.second;
      world.time.Spawn(
        World::Store(daemon, world.Call(keys[i + 2].c_str()), results[i]));
      world.Wait(1ms);
    }
    world.Wait(2s);

    THEN("all are granted")
    {
      for (const auto& result : results) {
        REQUIRE(result);
        CHECK(result->answer == ClaimAnswer::Granted);
      }
    }
  }
}
