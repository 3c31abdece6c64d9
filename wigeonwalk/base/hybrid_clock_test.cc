#include "wigeonwalk/base/hybrid_clock.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a timeline that shows an effect before its cause.
SCENARIO("a hybrid clock orders events across hosts", "[hybrid-clock]")
{
  const TimePoint start(1h);
  GIVEN("one host whose physical clock stands still")
  {
    HybridClock clock;
    const HybridTime first = clock.Stamp(start);
    THEN("stamps still rise")
    {
      const HybridTime second = clock.Stamp(start);
      CHECK(first < second);
      CHECK(second.physical == start);
      CHECK(second < clock.Stamp(start + 1us));
    }
  }
  GIVEN("a sender whose clock is 5 s ahead of the receiver's")
  {
    HybridClock sender;
    HybridClock receiver;
    const HybridTime sent = sender.Stamp(start + 5s);
    WHEN("the receiver observes the message")
    {
      const HybridTime received = receiver.Observe(sent, start);
      THEN("receipt and all that follows are later than the sending")
      {
        CHECK(sent < received);
        CHECK(received < receiver.Stamp(start + 1ms));
      }
    }
    WHEN("an older message arrives after local events")
    {
      const HybridTime local = receiver.Stamp(start + 9s);
      THEN("the receipt is later than both")
      {
        CHECK(local < receiver.Observe(sent, start + 9s));
      }
    }
  }
  GIVEN("a message from a host whose clock is wrong by an hour")
  {
    HybridClock receiver;
    const HybridTime wrong{ start + 1h, 7 };
    THEN("the receiver's clock stays with its own time")
    {
      CHECK(receiver.Observe(wrong, start) == HybridTime{ start, 0 });
    }
  }
}

// Guards against stamps that change on a message.
TEST_CASE("a hybrid time survives printing", "[hybrid-clock]")
{
  const HybridTime time{ TimePoint(1764835200000000us), 3 };
  CHECK(time.ToString() == "1764835200000000.3");
  CHECK(ParseHybridTime(time.ToString()) == time);
  for (const char* bad : { "", ".", "1.", ".1", "1", "-1.0", "1.-1", "1.0x" }) {
    CHECK_FALSE(ParseHybridTime(bad).has_value());
  }
}
