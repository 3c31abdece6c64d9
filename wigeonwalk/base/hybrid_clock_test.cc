#include "wigeonwalk/base/hybrid_clock.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a timeline that shows an effect before its cause, when the
// clocks of two hosts differ.
SCENARIO("a hybrid clock orders events across hosts", "[hybrid-clock]")
{
  const TimePoint start(1h);
  GIVEN("one host whose physical clock does not advance")
  {
    HybridClock clock;
    const HybridTime first = clock.Stamp(start);
    THEN("timestamps still increase")
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
      THEN("the receipt and all later events are later than the sending")
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
  GIVEN("a message from a host whose clock is an hour ahead")
  {
    HybridClock receiver;
    const HybridTime wrong{ start + 1h, 7 };
    THEN("the receiver's clock keeps its own time")
    {
      CHECK(receiver.Observe(wrong, start) == HybridTime{ start, 0 });
    }
  }
}

// Guards against timestamps that change when they are sent in a message.
TEST_CASE("a hybrid time is unchanged after printing and parsing",
          "[hybrid-clock]")
{
  const HybridTime time{ TimePoint(1764835200000000us), 3 };
  CHECK(time.ToString() == "1764835200000000.3");
  CHECK(ParseHybridTime(time.ToString()) == time);
  for (const char* bad : { "", ".", "1.", ".1", "1", "-1.0", "1.-1", "1.0x" }) {
    CHECK_FALSE(ParseHybridTime(bad).has_value());
  }
}
