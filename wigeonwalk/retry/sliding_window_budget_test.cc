#include "wigeonwalk/retry/sliding_window_budget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against daemons whose repeats together exceed the limit, although each
// of them keeps to its own budget.
TEST_CASE("daemons share one budget of repeats")
{
  const SlidingWindowBudgetSettings settings{ .ratio = 0.2,
                                              .slack = 54,
                                              .window = 10s };
  const ServiceName service("orders");
  const TimePoint start{ 1h };

  GIVEN("seven daemons that try to repeat every request")
  {
    constexpr std::size_t kDaemons = 7;
    std::vector<SlidingWindowBudget> daemons(kDaemons,
                                             SlidingWindowBudget(settings));
    std::size_t requests = 0;
    std::size_t repeats = 0;
    for (Duration at = 0s; at < 10s; at += 20ms) {
      for (SlidingWindowBudget& daemon : daemons) {
        daemon.RecordRequest(service, start + at);
        ++requests;
        repeats += daemon.TrySpend(service, kDaemons, start + at) ? 1 : 0;
      }
    }

    THEN("their repeats in one window stay within the limit")
    {
      CHECK(static_cast<double>(repeats) <= 0.2 * requests + 54);
      CHECK(repeats > 0);
    }
  }

  GIVEN("a daemon without requests")
  {
    SlidingWindowBudget daemon(settings);

    THEN("it may use its part of the slack, and again after a window")
    {
      std::size_t first = 0;
      while (daemon.TrySpend(service, 7, start)) {
        ++first;
      }
      CHECK(first == 6);
      CHECK_FALSE(daemon.TrySpend(service, 7, start + 9s));
      CHECK(daemon.TrySpend(service, 7, start + 11s));
    }

    THEN("each service has a budget of its own")
    {
      while (daemon.TrySpend(service, 7, start)) {
      }
      CHECK(daemon.TrySpend(ServiceName("bookings"), 7, start));
    }
  }
}
