#include "wigeonwalk/limits/limit_owner.h"
#include "wigeonwalk/limits/local_share.h"
#include "wigeonwalk/limits/overload.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 24h };
const LimitKey kKey{ OrganisationId("tofu-lenga"), ServiceName("orders") };

LimitAmounts
Amounts(double aConcurrent, double aRequests, double aTokens)
{
  return { { aConcurrent, aRequests, aTokens } };
}

Allotment
Report(LimitOwner& aOwner,
       const char* aHost,
       const LimitAmounts& aDemand,
       const LimitAmounts& aHeld,
       TimePoint aNow,
       FleetReach aReach = { 1, 100 })
{
  const LimitAmounts limits = Amounts(10, 100, kNoLimit);
  return aOwner.Answer(
    { kKey, HostId(aHost), aDemand, aHeld }, limits, aReach, aNow);
}

} // namespace

// Guards against a daemon that admits more than its allotment, or that still
// uses an expired one.
SCENARIO("a daemon keeps to its share", "[limits]")
{
  LocalShare share(Amounts(10, 100, 1'000), kStart);
  GIVEN("no allotment")
  {
    THEN("the first request must ask the owner")
    {
      CHECK(share.TryStart(10, kStart).decision == ShareDecision::AskOwner);
    }
    THEN("the fallbacks of all members add up to the limit")
    {
      double concurrent = 0;
      double requests = 0;
      for (std::uint32_t rank = 0; rank < 7; ++rank) {
        LocalShare member(Amounts(10, 100, 1'000), kStart);
        member.UseFallback(7, rank, kStart);
        concurrent += member.Held(kStart)[LimitKind::ConcurrentRequests];
        requests += member.Held(kStart)[LimitKind::RequestsPerSecond];
      }
      CHECK(concurrent == 10);
      CHECK(requests == Approx(100));
    }
  }
  GIVEN("an allotment of 2 concurrent, 20 requests and 100 tokens a second")
  {
    share.Accept({ kKey, Amounts(2, 20, 100), 3s }, kStart, kStart);
    struct Case
    {
      const char* name;
      double tokens;
      bool finish;
      LimitKind exhausted;
      std::uint32_t most;
    };
    const auto row = GENERATE(values<Case>({
      { "running", 1, false, LimitKind::ConcurrentRequests, 2 },
      { "requests", 1, true, LimitKind::RequestsPerSecond, 5 + 20 },
      { "tokens", 50, true, LimitKind::TokensPerSecond, 1 + 2 },
    }));
    CAPTURE(row.name);
    std::uint32_t admitted = 0;
    std::uint32_t other = 0;
    for (TimePoint now = kStart; now < kStart + 1s; now += 1ms) {
      const ShareAnswer answer = share.TryStart(row.tokens, now);
      admitted += answer.decision == ShareDecision::Admitted ? 1 : 0;
      other += answer.decision != ShareDecision::Admitted &&
                   answer.exhausted != row.exhausted
                 ? 1
                 : 0;
      if (row.finish && answer.decision == ShareDecision::Admitted) {
        share.Finish(0, now);
      }
    }
    THEN("that much is admitted, and nothing after it has expired")
    {
      CHECK(admitted <= row.most);
      CHECK(admitted + 1 >= row.most);
      CHECK(other == 0);
      CHECK(share.TryStart(1, kStart + 3s).decision == ShareDecision::AskOwner);
    }
  }
}

// Guards against allotments that add up to more than the limit, which could
// happen while amounts move from one daemon to another.
SCENARIO("an owner divides a limit by demand", "[limits]")
{
  LimitOwner owner;
  const LimitAmounts none;
  const LimitAmounts busy = Amounts(10, 300, 0);
  const LimitAmounts first = Report(owner, "a", busy, none, kStart).amounts;
  CHECK(first == Amounts(10, 100, kNoLimit));
  WHEN("a second daemon becomes as busy")
  {
    const LimitAmounts second =
      Report(owner, "b", busy, none, kStart + 100ms).amounts;
    THEN("it gets its half once the first has confirmed its decrease")
    {
      CHECK(second[LimitKind::RequestsPerSecond] == 0);
      const LimitAmounts less =
        Report(owner, "a", busy, first, kStart + 1s).amounts;
      CHECK(less == Amounts(5, 50, kNoLimit));
      CHECK(Report(owner, "b", busy, second, kStart + 1100ms)
              .amounts[LimitKind::RequestsPerSecond] == 0);
      Report(owner, "a", busy, less, kStart + 2s);
      CHECK(Report(owner, "b", busy, second, kStart + 2100ms).amounts ==
            Amounts(5, 50, kNoLimit));
    }
  }
  WHEN("the first daemon stops reporting")
  {
    THEN("others get its part less its fallback on expiry, and all of it later")
    {
      CHECK(Report(owner, "b", busy, none, kStart + 2900ms)
              .amounts[LimitKind::RequestsPerSecond] == 0);
      CHECK(Report(owner, "b", busy, none, kStart + 3s)
              .amounts[LimitKind::RequestsPerSecond] == 99);
      CHECK(Report(owner, "b", busy, none, kStart + 18s).amounts == first);
    }
  }
  WHEN("the first daemon reports that it has no more requests")
  {
    Report(owner, "a", none, first, kStart + 1s);
    THEN("others get its part at once")
    {
      CHECK(Report(owner, "b", busy, none, kStart + 1100ms).amounts == first);
    }
  }
  WHEN("little of the limit is demanded")
  {
    LimitOwner uncontended;
    const Allotment answer =
      Report(uncontended, "a", Amounts(1, 10, 0), none, kStart);
    THEN("twice the demand is granted for a long time")
    {
      CHECK(answer.amounts == Amounts(2, 20, kNoLimit));
      CHECK(answer.validFor == kUncontendedValidity);
    }
  }
  WHEN("another owner takes over")
  {
    LimitOwner next;
    next.MembersChanged(kStart + 1s);
    THEN("until all is reported, it renews what is held and grants little more")
    {
      CHECK(Report(next, "b", busy, none, kStart + 1s)
              .amounts[LimitKind::RequestsPerSecond] == 1);
      CHECK(Report(next, "a", busy, first, kStart + 1s).amounts == first);
    }
  }
  WHEN("a third of the fleet is reachable")
  {
    LimitOwner cut;
    THEN("a third of the limit is granted")
    {
      CHECK(Report(cut, "a", busy, none, kStart, { 1.0 / 3, 100 })
              .amounts[LimitKind::RequestsPerSecond] == Approx(100.0 / 3));
    }
  }
}

// Guards against a small organisation whose requests each arrive at another
// daemon, and which therefore gets no share at all, or more than its limit.
SCENARIO("an owner admits rare requests individually", "[limits]")
{
  LimitOwner owner;
  const LimitAmounts limits = Amounts(4, 2, kNoLimit);
  std::uint32_t admitted = 0;
  std::uint32_t running = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + i * 100ms;
    const HostId host(std::to_string(i));
    LocalShare share(limits, now);
    REQUIRE(share.TryStart(1, now).decision == ShareDecision::AskOwner);
    // The smoothed demand of one request.
    const LimitAmounts demand = share.TakeDemand(now);
    const Allotment answer =
      owner.Answer({ kKey, host, demand, {}, true }, limits, { 1, 100 }, now);
    share.Accept(answer, now, now);
    const bool starts =
      share.TryStart(1, now).decision == ShareDecision::Admitted;
    CHECK(starts == answer.admitsRequest);
    admitted += starts ? 1 : 0;
    running += starts ? 1 : 0;
    CHECK(running <= 4);
    // The first 10 requests and the last 30 keep running, up to the limit of
    // concurrent requests; those between end at once.
    if (starts && i >= 10 && i < 70) {
      share.Finish(0, now);
      REQUIRE(share.IsReportDue(now));
      const LimitAmounts none = share.TakeDemand(now);
      owner.Answer({ kKey, host, none, {}, false }, limits, { 1, 100 }, now);
      --running;
    }
  }
  CHECK(running == 4);
  CHECK(admitted >= 2 * 6);
  CHECK(admitted <= 2 * 7 + 2);
}

// Guards against two sides of a partition that each grant the whole limit.
SCENARIO("a lost part of the fleet keeps its part of the limits", "[limits]")
{
  ReachableFraction fraction;
  fraction.Observe(350, 0, kStart);
  CHECK(fraction.Now().fraction == 1);
  fraction.Observe(117, 0, kStart + 10s);
  CHECK(fraction.Now().fraction == Approx(117.0 / 350));
  CHECK(fraction.Now().total == 350);
  fraction.Observe(117, 0, kStart + 1h);
  CHECK(fraction.Now().fraction == Approx(117.0 / 350));
  SECTION("its part is released after the hold time")
  {
    fraction.Observe(117, 0, kStart + 10s + ReachableFraction::kHoldTime);
    CHECK(fraction.Now().fraction == 1);
  }
  SECTION("daemons that left as planned keep nothing")
  {
    fraction.Observe(100, 17, kStart + 1h);
    CHECK(fraction.Now().total == 333);
  }
}

// Guards against shedding more important requests before less important ones,
// and against shedding without overload.
SCENARIO("overload sheds the least important work", "[overload]")
{
  OverloadShedder shedder(1, kStart);
  // Offers requests of all classes, 200 per second in total if `aScale` is 1,
  // to a server that completes 100 per second. Returns the number admitted by
  // class.
  const auto run = [&shedder](double aScale) {
    std::array<std::uint32_t, 3> admitted{};
    const auto step = FromSeconds(0.03 / (2 * aScale));
    TimePoint free = kStart;
    TimePoint now = kStart;
    std::deque<TimePoint> running;
    for (; now < kStart + 20s; now += step) {
      for (const auto& row : EnumNames<RequestClass>::kTable) {
        while (!running.empty() && running.front() <= now) {
          shedder.Complete(1, running.front());
          running.pop_front();
        }
        const ShedAnswer answer = shedder.Offer({ row.value, 1, 1 }, now);
        if (answer.admitted) {
          ++admitted[static_cast<std::size_t>(row.value)];
          free = std::max(free, now) + 10ms;
          running.push_back(free);
        } else {
          CHECK(answer.retryAfter >= 500ms);
          CHECK(answer.retryAfter <= 45s);
        }
      }
    }
    return admitted;
  };
  GIVEN("long requests to many upstreams, of which some are idle")
  {
    // One request every 400 ms, then ten in half a second; each takes 600 ms.
    std::deque<TimePoint> running;
    int refused = 0;
    const auto offer = [&](TimePoint aNow) {
      while (!running.empty() && running.front() <= aNow) {
        shedder.Complete(8'000, running.front());
        running.pop_front();
      }
      const ShedOffer one{ RequestClass::Standard, 1, 8'000, true };
      refused += shedder.Offer(one, aNow).admitted ? 0 : 1;
      running.push_back(aNow + 600ms);
    };
    for (TimePoint now = kStart; now < kStart + 4s; now += 400ms) {
      offer(now);
    }
    for (int i = 0; i < 10; ++i) {
      offer(kStart + 4s + i * 50ms);
    }
    THEN("none is refused")
    {
      CHECK(refused == 0);
    }
  }
  GIVEN("90% of the capacity")
  {
    const auto admitted = run(0.45);
    CHECK(admitted[0] + admitted[1] + admitted[2] >= 1'790);
  }
  GIVEN("twice the capacity, a third of it interactive")
  {
    const auto admitted = run(1);
    THEN("interactive work is admitted, background work is not")
    {
      CHECK(admitted[0] >= 1'300);
      CHECK(admitted[2] <= 200);
      CHECK(admitted[0] + admitted[1] + admitted[2] >= 1'900);
      CHECK(admitted[0] + admitted[1] + admitted[2] <= 2'100);
    }
  }
}
