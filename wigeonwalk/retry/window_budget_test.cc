#include "wigeonwalk/retry/window_budget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

TEST_CASE("daemons share one budget of repeats")
{
  const WindowBudgetSettings settings{ .ratio = 0.2,
                                       .slack = 54,
                                       .window = 10s };
  const ServiceName service("orders");
  const TimePoint start{ 1h };

  GIVEN("seven daemons whose every request asks for a repeat")
  {
    constexpr std::size_t kDaemons = 7;
    std::vector<WindowBudget> daemons(kDaemons, WindowBudget(settings));
    std::size_t requests = 0;
    std::size_t repeats = 0;
    for (Duration at = 0s; at < 10s; at += 20ms) {
      for (WindowBudget& daemon : daemons) {
        daemon.NoteRequest(service, start + at);
        ++requests;
        repeats += daemon.TrySpend(service, kDaemons, start + at) ? 1 : 0;
      }
    }

    THEN("together they stay within the bound of one window")
    {
      CHECK(static_cast<double>(repeats) <= 0.2 * requests + 54);
      CHECK(repeats > 0);
    }
  }

  GIVEN("a quiet daemon")
  {
    WindowBudget daemon(settings);

    THEN("its part of the slack lets it repeat, and comes back after a window")
    {
      std::size_t first = 0;
      while (daemon.TrySpend(service, 7, start)) {
        ++first;
      }
      CHECK(first == 6);
      CHECK_FALSE(daemon.TrySpend(service, 7, start + 9s));
      CHECK(daemon.TrySpend(service, 7, start + 11s));
    }

    THEN("services don't use up each other's budget")
    {
      while (daemon.TrySpend(service, 7, start)) {
      }
      CHECK(daemon.TrySpend(ServiceName("bookings"), 7, start));
    }
  }
}
