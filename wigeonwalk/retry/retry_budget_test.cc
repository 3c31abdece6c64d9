#include "wigeonwalk/retry/backoff.h"
#include "wigeonwalk/retry/retry_budget.h"

#include <catch2/catch.hpp>

#include <random>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const OrganisationId kLarge("large");
const OrganisationId kSmall("small");
const ServiceName kService("order");

// Asks for a number of retries within one second. Returns the number granted.
int
SpendRetries(RetryBudget& aBudget,
             const OrganisationId& aOrganisation,
             TimePoint aNow,
             int aCount)
{
  int granted = 0;
  for (int i = 0; i < aCount; ++i) {
    granted +=
      aBudget.TrySpend(aOrganisation, kService, aNow + i * 1s / aCount) ? 1 : 0;
  }
  return granted;
}

} // namespace

// Guards against retries that multiply the load while an upstream is down, and
// against one organisation exhausting the retries of the others.
SCENARIO("retries are limited to a share of recent successes", "[budget]")
{
  RetryBudget budget;
  TimePoint now(24h);

  GIVEN("a daemon without any success so far")
  {
    THEN("only one retry is granted")
    {
      CHECK(SpendRetries(budget, kSmall, now, 100) == 1);
    }
  }
  GIVEN("200 successes of the large organisation within ten seconds")
  {
    for (int i = 0; i < 200; ++i) {
      budget.RecordSuccess(kLarge, kService, now + i * 50ms);
    }
    now += 10s;

    WHEN("every request then fails")
    {
      const int granted = SpendRetries(budget, kLarge, now, 200);
      THEN("at most a tenth of them and one from the reserve are granted")
      {
        CHECK(granted >= 5);
        CHECK(granted <= 11);
        AND_THEN("the small organisation still gets its retry")
        {
          CHECK(SpendRetries(budget, kSmall, now + 1s, 1) == 1);
        }
      }
    }
    WHEN("a minute passes without a success")
    {
      THEN("the old successes no longer count")
      {
        CHECK(SpendRetries(budget, kLarge, now + 60s, 200) <= 1);
      }
    }
  }
  GIVEN("more pairs than are kept")
  {
    RetryBudget bounded({ .maxPairs = 8 });
    for (int i = 0; i < 100; ++i) {
      bounded.RecordSuccess(
        OrganisationId(std::to_string(i)), kService, now + i * 1s);
    }
    THEN("the memory stays bounded")
    {
      CHECK(bounded.Pairs() == 8);
    }
  }
}

// Guards against synchronised retries, and against attempts that start too late
// to finish before the deadline.
SCENARIO("backoff grows with jitter within the deadline", "[backoff]")
{
  const BackoffSettings settings;
  const TimePoint now(24h);
  std::mt19937_64 random(7);

  THEN("delays double up to the maximum")
  {
    CHECK(BackoffDelay(settings, 1) == 20ms);
    CHECK(BackoffDelay(settings, 3) == 80ms);
    CHECK(BackoffDelay(settings, 60) == 2s);
  }
  THEN("each wait lies between half the delay and the delay")
  {
    for (int i = 0; i < 100; ++i) {
      const auto at = NextAttemptAt(settings, 4, now, now + 1h, random);
      REQUIRE(at.has_value());
      CHECK(*at - now >= 80ms);
      CHECK(*at - now <= 160ms);
    }
  }
  THEN("no attempt is made that cannot finish before the deadline")
  {
    CHECK_FALSE(NextAttemptAt(settings, 1, now, now + 55ms, random));
  }
}
