#include "wigeonwalk/queueing/service_queue.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against requests that wait though they can't be served in time, and
// against refusals by a daemon that doesn't know its capacity yet.
SCENARIO("a request is refused at once if its wait would be too long")
{
  ServiceQueue queue;
  const TimePoint start(24h);
  const OrganisationId organisation("tofu");
  const auto enter = [&] {
    return queue.requests.Enter({ 1, organisation, 12'000 });
  };

  GIVEN("a daemon that has just started")
  {
    const auto ticket = enter();
    THEN("nothing is refused by forecast")
    {
      const Admission admission = queue.Admit(ticket, 400ms, 0, start);
      CHECK(admission.admitted);
      CHECK_FALSE(admission.expectedWait);
    }
  }

  GIVEN("runs that release 40,000 tokens of memory a second")
  {
    TimePoint now = start;
    for (int i = 0; i < 30; ++i) {
      now += 300ms;
      queue.NoteReleased(12'000, now);
    }
    REQUIRE(queue.TimeToRelease(40'000, now));
    CHECK(*queue.TimeToRelease(40'000, now) > 800ms);
    CHECK(*queue.TimeToRelease(40'000, now) < 1'200ms);

    THEN("the first request waits, and one behind a backlog is refused")
    {
      CHECK(queue.Admit(enter(), 400ms, 0, now).admitted);
      const Admission second = queue.Admit(enter(), 400ms, 0, now);
      CHECK_FALSE(second.admitted);
      CHECK(*second.expectedWait > 400ms);
    }

    THEN("refused callers are asked to return at different times")
    {
      for (int i = 0; i < 8; ++i) {
        enter();
      }
      const auto ticket = enter();
      const Admission early = queue.Admit(ticket, 400ms, 0, now);
      const Admission late = queue.Admit(ticket, 400ms, 0.99, now);
      CHECK(early.retryAfter >= ServiceQueue::kMinRetryAfter / 2);
      CHECK(late.retryAfter > 2 * early.retryAfter);
      CHECK(late.retryAfter <= 3 * ServiceQueue::kMaxRetryAfter / 2);
    }

    WHEN("no run has ended for some time")
    {
      now += ServiceQueue::kRateWindow + 1s;
      THEN("the rate is unknown again")
      {
        CHECK_FALSE(queue.TimeToRelease(12'000, now));
        CHECK(queue.Admit(enter(), 400ms, 0, now).admitted);
      }
    }
  }
}
