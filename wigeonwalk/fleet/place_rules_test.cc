#include "wigeonwalk/fleet/place_rules.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<Runner>
RunnerIn(const std::string& aZone)
{
  auto runner = std::make_shared<Runner>();
  runner->entry.id = UpstreamId("in-" + aZone);
  runner->entry.zone = AvailabilityZone(aZone);
  return runner;
}

} // namespace

// Guards against requests in zones that are out of use, or away from home.
SCENARIO("a request is processed only where its place rules allow")
{
  const TimePoint now = TimePoint() + 100s;
  const ZoneRegions regions{ { AvailabilityZone("a1"), "alps" },
                             { AvailabilityZone("a2"), "alps" },
                             { AvailabilityZone("b1"), "bay" },
                             { AvailabilityZone("c1"), "cape" } };
  const std::vector<std::shared_ptr<Runner>> runners{
    RunnerIn("a1"), RunnerIn("a2"), RunnerIn("b1"), RunnerIn("unlisted")
  };
  ZonesOutOfUse outOfUse;
  const PlaceRules places(outOfUse, regions);
  const HomeRegions anywhere;

  GIVEN("no order of the operator and no homes")
  {
    CHECK(places.Allows(AvailabilityZone("unlisted"), anywhere, now));
    CHECK(places.WhyNone(runners, anywhere, now) == PlaceRefusal::None);
    CHECK(places.WhyNone({}, anywhere, now) == PlaceRefusal::None);
  }

  GIVEN("zones out of use")
  {
    outOfUse.TakeOut(AvailabilityZone("a1"), now);
    CHECK_FALSE(places.Allows(AvailabilityZone("a1"), anywhere, now));
    CHECK(places.Allows(AvailabilityZone("a2"), anywhere, now));
    CHECK(places.WhyNone(runners, anywhere, now) == PlaceRefusal::None);

    THEN("a service with no runner elsewhere can't be used")
    {
      const std::vector<std::shared_ptr<Runner>> only{ runners.front() };
      CHECK(places.WhyNone(only, anywhere, now) == PlaceRefusal::ZonesOutOfUse);
    }

    THEN("homes and zones both bind")
    {
      const HomeRegions alps({ "alps" });
      CHECK(places.WhyNone(runners, alps, now) == PlaceRefusal::None);
      outOfUse.TakeOut(AvailabilityZone("a2"), now);
      CHECK(places.WhyNone(runners, alps, now) == PlaceRefusal::ZonesOutOfUse);
    }
  }

  GIVEN("homes")
  {
    CHECK(places.Allows(AvailabilityZone("b1"), HomeRegions({ "bay" }), now));
    CHECK_FALSE(
      places.Allows(AvailabilityZone("a1"), HomeRegions({ "bay" }), now));

    THEN("a zone of an unknown region is none of them")
    {
      CHECK_FALSE(places.Allows(
        AvailabilityZone("unlisted"), HomeRegions({ "bay" }), now));
    }

    THEN("without a runner in a home, none may get the request")
    {
      CHECK(places.WhyNone(runners, HomeRegions({ "cape" }), now) ==
            PlaceRefusal::NotAtHome);
      const HomeRegions none =
        HomeRegions::Both(HomeRegions({ "alps" }), HomeRegions({ "bay" }));
      CHECK(places.WhyNone(runners, none, now) == PlaceRefusal::NotAtHome);
    }
  }
}
