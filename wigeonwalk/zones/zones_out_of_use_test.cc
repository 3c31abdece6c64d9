#include "wigeonwalk/zones/zones_out_of_use.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against a zone that gets requests while it is out of use, or none
// after it was taken back.
SCENARIO("an operator takes zones out of use and back")
{
  const AvailabilityZone north("north");
  const AvailabilityZone south("south");
  const TimePoint start = TimePoint() + 100s;
  ZonesOutOfUse zones;

  GIVEN("no order")
  {
    CHECK_FALSE(zones.IsOut(north, start));
    CHECK_FALSE(zones.TakeBack(north));
    CHECK(zones.All(start).empty());
  }

  GIVEN("a zone that is out of use")
  {
    CHECK(zones.TakeOut(north, start));

    THEN("only that zone is")
    {
      CHECK(zones.IsOut(north, start + 1h));
      CHECK_FALSE(zones.IsOut(south, start));
    }

    THEN("a repeated order changes nothing")
    {
      CHECK_FALSE(zones.TakeOut(north, start + 1s));
      CHECK(zones.All(start + 1s) ==
            std::vector<ZoneOutOfUse>{ { north, start } });
    }

    WHEN("a second zone is taken out and the first is taken back")
    {
      zones.TakeOut(south, start + 1s);
      CHECK(zones.TakeBack(north));

      THEN("the second one stays out")
      {
        CHECK_FALSE(zones.IsOut(north, start + 2s));
        CHECK(zones.IsOut(south, start + 2s));
      }

      THEN("the first one can be taken out again")
      {
        CHECK(zones.TakeOut(north, start + 3s));
        CHECK(zones.IsOut(north, start + 3s));
      }
    }

    WHEN("the registry is restored from a copy that lacks the order")
    {
      zones.NoteMissing(north, start + 10s);

      THEN("the zone stays out until the operator must have written it again")
      {
        const TimePoint end = start + 10s + ZonesOutOfUse::kRestoredGrace;
        CHECK(zones.IsOut(north, end - 1ms));
        CHECK_FALSE(zones.IsOut(north, end));
        CHECK(zones.All(end).empty());
      }

      THEN("it stays out once the operator has written it again")
      {
        CHECK_FALSE(zones.TakeOut(north, start + 11s));
        CHECK(zones.IsOut(north, start + 1h));
      }

      THEN("a second restore doesn't prolong the wait")
      {
        zones.NoteMissing(north, start + 12s);
        CHECK_FALSE(
          zones.IsOut(north, start + 10s + ZonesOutOfUse::kRestoredGrace));
      }
    }
  }
}
