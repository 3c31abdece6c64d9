#include "wigeonwalk/routing/route_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace wigeonwalk;

namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route route;
  route.name = std::move(aName);
  route.host = std::move(aHost);
  route.prefix = std::move(aPrefix);
  route.services = { { ServiceName("orders"), 1 } };
  return route;
}

} // namespace

// Guards against requests that get the wrong route, organisation or service.
TEST_CASE("a route table looks up the operator's configuration")
{
  RoutingConfiguration configuration;
  configuration.routes = { MakeRoute("all", "a.example", "/"),
                           MakeRoute("orders", "a.example", "/orders/"),
                           MakeRoute("rush", "a.example", "/orders/rush/"),
                           MakeRoute("other", "b.example", "/orders/") };
  configuration.organisations = {
    { OrganisationId("tofu"), { "k1", "k2" }, std::nullopt, false },
    { OrganisationId("lace"), { "k3" }, 1, true }
  };
  configuration.services = { { ServiceName("orders"), "/health", 8, {}, {} } };
  const RouteTable table(configuration);

  SECTION("the longest matching prefix of the caller's host wins")
  {
    struct Row
    {
      const char* host;
      const char* target;
      const char* route;
    };
    const Row row =
      GENERATE(Row{ "a.example", "/orders/rush/7", "rush" },
               Row{ "a.example", "/orders/7?x=/orders/rush/", "orders" },
               Row{ "a.example", "/orders", "all" },
               Row{ "A.Example:8080", "/orders/7", "orders" },
               Row{ "b.example", "/orders/rush/7", "other" });
    const Route* route = table.FindRoute(row.host, row.target);
    REQUIRE(route != nullptr);
    CHECK(route->name == row.route);
  }

  SECTION("an unknown host or path has no route")
  {
    CHECK(table.FindRoute("c.example", "/orders/7") == nullptr);
    CHECK(table.FindRoute("b.example", "/bookings/7") == nullptr);
  }

  SECTION("a key identifies one organisation, an unknown key none")
  {
    REQUIRE(table.FindOrganisation("k2") != nullptr);
    CHECK(table.FindOrganisation("k2")->name == OrganisationId("tofu"));
    CHECK(table.FindOrganisation("k3")->isolated);
    CHECK(table.FindOrganisation("") == nullptr);
    CHECK(table.FindOrganisation("k4") == nullptr);
    CHECK(table.RequiresApiKeys());
  }

  SECTION("services are found by name")
  {
    CHECK(table.FindService(ServiceName("orders")) != nullptr);
    CHECK(table.FindService(ServiceName("gone")) == nullptr);
  }
}

// Guards against a traffic split that ignores the weights, or sends the retries
// of one request to different services.
TEST_CASE("a split route sends each request to one service")
{
  Route route = MakeRoute("split", "a.example", "/");
  route.services = { { ServiceName("blue"), 90 },
                     { ServiceName("green"), 10 } };

  SECTION("in proportion to the weights")
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < 10'000; ++i) {
      ++counts[ChooseService(route, RequestId(std::to_string(i)))->Text()];
    }
    CHECK(counts["blue"] > 8'800);
    CHECK(counts["green"] > 800);
  }

  SECTION("the same one each time it is asked")
  {
    const RequestId request("r-1");
    CHECK(*ChooseService(route, request) == *ChooseService(route, request));
  }

  SECTION("and to none if all weights are zero")
  {
    route.services = { { ServiceName("blue"), 0 } };
    CHECK(ChooseService(route, RequestId("r-1")) == nullptr);
  }
}
