#include "wigeonwalk/adapters/settings/entry_settings_json.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

nlohmann::json
RequiredEntrySettings()
{
  return { { "host", "front-1" },
           { "zone", "north" },
           { "listen",
             { { "callers", "10.1.0.40:8005" },
               { "readiness", "10.1.0.40:8002" } } },
           { "registryAddress", "10.200.1.7:8007" } };
}

} // namespace

// Guards against an entry daemon that starts with unusable settings.
SCENARIO("the settings of an entry daemon are validated")
{
  std::vector<FailureReason> reasons;

  GIVEN("the required keys")
  {
    const auto settings =
      ParseEntrySettings(RequiredEntrySettings().dump(), reasons);
    REQUIRE(settings.has_value());

    THEN("all others have the defaults that the reference states")
    {
      const EntrySettings defaults;
      CHECK(settings->bounds.drain == defaults.bounds.drain);
      CHECK(settings->bounds.newWeights == defaults.bounds.newWeights);
      CHECK(settings->readTokensPerMs == defaults.readTokensPerMs);
      CHECK(settings->listen.peers.empty());
    }
  }

  GIVEN("bounds of the deployment")
  {
    nlohmann::json json = RequiredEntrySettings();
    json["bounds"] = { { "drain", "3s" },
                       { "orderLease", "3000ms" },
                       { "repeatSlack", 54 } };
    const auto settings = ParseEntrySettings(json.dump(), reasons);
    REQUIRE(settings.has_value());
    CHECK(settings->bounds.drain == 3s);
    CHECK(settings->bounds.orderLease == 3s);
    CHECK(settings->bounds.repeatSlack == 54);
  }

  GIVEN("the regions of zones")
  {
    nlohmann::json json = RequiredEntrySettings();
    json["regions"] = { { "north", "alps" }, { "south", "bay" } };
    const auto settings = ParseEntrySettings(json.dump(), reasons);
    REQUIRE(settings.has_value());
    CHECK(settings->regions.at(AvailabilityZone("south")) == "bay");
    CHECK(ParseRegions(json["regions"].dump(), reasons) == settings->regions);
    CHECK(reasons.empty());
    const std::string invalid = GENERATE("", "[]", R"({"north":7})", "{");
    CHECK_FALSE(ParseRegions(invalid, reasons).has_value());
    CHECK_FALSE(reasons.empty());
  }

  GIVEN("a key that is missing, unknown or out of range")
  {
    nlohmann::json json = RequiredEntrySettings();
    const std::string place = GENERATE("/host",
                                       "/listen/callers",
                                       "/registryAddress",
                                       "/bounds/drain",
                                       "/readTokensPerMs",
                                       "/registryAdress");
    const nlohmann::json::json_pointer pointer(place);
    json[pointer] = "no such value";
    if (place == "/host") {
      json.erase("host");
    }
    CAPTURE(place);
    CHECK_FALSE(ParseEntrySettings(json.dump(), reasons).has_value());
    REQUIRE_FALSE(reasons.empty());
    CHECK_FALSE(reasons[0].ToString().empty());
  }

  GIVEN("a text that is not JSON")
  {
    CHECK_FALSE(ParseEntrySettings("host = \"a\"", reasons).has_value());
    CHECK(reasons.size() == 1);
  }
}
