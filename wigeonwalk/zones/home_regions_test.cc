#include "wigeonwalk/zones/home_regions.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

// Guards against requests and cache that leave the regions in which they must
// be processed.
SCENARIO("routes and organisations have home regions")
{
  const HomeRegions anywhere;
  const HomeRegions europe({ "west", "east" });
  const HomeRegions coasts({ "west", "south" });

  THEN("without homes, every region is allowed")
  {
    CHECK(anywhere.Allows("west"));
    CHECK(anywhere.Allows(""));
    CHECK_FALSE(HomeRegions(std::vector<std::string>{}).IsBound());
    CHECK(anywhere.Name().empty());
  }

  THEN("with homes, only these are, and an unknown region is none of them")
  {
    CHECK(europe.Allows("east"));
    CHECK_FALSE(europe.Allows("south"));
    CHECK_FALSE(europe.Allows(""));
    CHECK_FALSE(HomeRegions({ "" }).Allows(""));
  }

  THEN("those of a route and of an organisation both bind")
  {
    const HomeRegions both = HomeRegions::Both(europe, coasts);
    CHECK(both.Allows("west"));
    CHECK_FALSE(both.Allows("east"));
    CHECK_FALSE(both.Allows("south"));
    CHECK(HomeRegions::Both(europe, anywhere) == europe);
    CHECK(HomeRegions::Both(anywhere, europe) == europe);
    CHECK_FALSE(both.AllowsNone());
  }

  THEN("homes that contradict each other allow no region")
  {
    const HomeRegions none =
      HomeRegions::Both(europe, HomeRegions({ "north" }));
    CHECK(none.AllowsNone());
    CHECK(none.IsBound());
    CHECK_FALSE(none.Allows("west"));
  }

  THEN("each set of homes has a name of its own, whatever their order")
  {
    CHECK(europe.Name() == HomeRegions({ "east", "west" }).Name());
    CHECK(europe.Name() != coasts.Name());
    CHECK(HomeRegions({ "a", "b" }).Name() != HomeRegions({ "a1:b" }).Name());
  }
}
