#include "wigeonwalk/routing/configuration_check.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

RoutingConfiguration
SoundConfiguration()
{
  RoutingConfiguration configuration;
  configuration.version = 7;
  Route lookup;
  lookup.name = "lookup";
  lookup.host = "a.example";
  lookup.prefix = "/lookup/";
  lookup.kind = RequestKind::Idempotent;
  lookup.services = { { ServiceName("orders"), 1 } };
  Route stream = lookup;
  stream.name = "stream";
  stream.prefix = "/stream/";
  stream.kind = RequestKind::Streaming;
  stream.resumable = true;
  stream.targetGap = 400ms;
  configuration.routes = { lookup, stream };
  configuration.services = { { ServiceName("orders"), "/health", 8, {}, {} } };
  configuration.organisations = {
    { OrganisationId("lace"), { "k1", "k2" }, std::nullopt, false },
    { OrganisationId("tofu"), { "k3" }, 1, true }
  };
  configuration.listsOrganisations = true;
  return configuration;
}

const ZoneRegions kRegions{ { AvailabilityZone("a1"), "alps" },
                            { AvailabilityZone("b1"), "bay" } };

} // namespace

// Guards against a check that lets a mistake pass, or reports a sound
// configuration.
SCENARIO("a configuration is checked before it is sent")
{
  RoutingConfiguration next = SoundConfiguration();
  CHECK(CheckConfiguration(next, kRegions).empty());

  struct Row
  {
    const char* name;
    std::function<void(RoutingConfiguration&)> spoil;
    FindingKind kind;
    const char* place;
  };
  const Row row = GENERATE(
    Row{ "unknown service",
         [](auto& aNext) {
           aNext.routes[0].services = { { ServiceName("gone"), 1 },
                                        { ServiceName("orders"), 1 } };
         },
         FindingKind::Error,
         "route lookup" },
    Row{ "prefix without a slash",
         [](auto& aNext) { aNext.routes[0].prefix = "/lookup"; },
         FindingKind::Error,
         "route lookup" },
    Row{ "name used twice",
         [](auto& aNext) { aNext.routes[1].name = "lookup"; },
         FindingKind::Error,
         "route lookup" },
    Row{ "key of two organisations",
         [](auto& aNext) { aNext.organisations[1].apiKeys = { "k1" }; },
         FindingKind::Error,
         "organisation tofu" },
    Row{ "same host and prefix",
         [](auto& aNext) {
           aNext.routes[1].host = "A.Example";
           aNext.routes[1].prefix = "/lookup/";
         },
         FindingKind::NeverMatches,
         "route stream" },
    Row{ "host with a port",
         [](auto& aNext) { aNext.routes[0].host = "a.example:80"; },
         FindingKind::NeverMatches,
         "route lookup" },
    Row{ "service without a weight",
         [](auto& aNext) {
           aNext.routes[0].services.push_back({ ServiceName("orders"), 0 });
         },
         FindingKind::NeverMatches,
         "route lookup" },
    Row{ "service without a route",
         [](auto& aNext) {
           aNext.services.push_back({ ServiceName("spare"), "/", 1, {}, {} });
         },
         FindingKind::NeverMatches,
         "service spare" },
    Row{ "organisation without keys",
         [](auto& aNext) { aNext.organisations[0].apiKeys.clear(); },
         FindingKind::NeverMatches,
         "organisation lace" },
    Row{ "empty key",
         [](auto& aNext) { aNext.organisations[0].apiKeys = { "" }; },
         FindingKind::NeverMatches,
         "organisation lace" },
    Row{ "target beyond the timeout",
         [](auto& aNext) { aNext.routes[0].targetLatency = 1min; },
         FindingKind::Contradiction,
         "route lookup" },
    Row{ "resumable without a stream",
         [](auto& aNext) { aNext.routes[0].resumable = true; },
         FindingKind::Contradiction,
         "route lookup" },
    Row{ "homes without a common region",
         [](auto& aNext) {
           aNext.routes[0].homes = HomeRegions({ "alps" });
           aNext.organisations[1].homes = HomeRegions({ "bay" });
         },
         FindingKind::Contradiction,
         "organisation tofu" },
    Row{ "homes without a zone",
         [](auto& aNext) { aNext.routes[0].homes = HomeRegions({ "moon" }); },
         FindingKind::Contradiction,
         "route lookup" },
    Row{ "an empty list of organisations",
         [](auto& aNext) { aNext.organisations.clear(); },
         FindingKind::Contradiction,
         "organisations" },
    Row{ "a limit of zero",
         [](auto& aNext) { aNext.bounds.headerBytes = 0; },
         FindingKind::Contradiction,
         "limits" });
  CAPTURE(row.name);
  row.spoil(next);
  const auto findings = CheckConfiguration(next, kRegions);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].kind == row.kind);
  CHECK(findings[0].place == row.place);
  CHECK_FALSE(findings[0].detail.empty());
}

// Guards against a change that an operator doesn't see before sending it.
SCENARIO("a configuration is compared with the version in force")
{
  const RoutingConfiguration inForce = SoundConfiguration();
  RoutingConfiguration next = inForce;
  ++next.version;
  CHECK(CompareConfigurations(inForce, next).empty());

  WHEN("the version does not rise")
  {
    next.version = inForce.version;
    const auto findings = CompareConfigurations(inForce, next);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == FindingKind::Error);
  }

  WHEN("entries are added, removed and changed")
  {
    next.routes[0].timeout = 1min;
    next.routes.pop_back();
    next.services.push_back({ ServiceName("spare"), "/", 1, {}, {} });
    next.organisations[0].apiKeys = { "k2", "k4", "k5" };
    next.bounds.idleTimeout = 5s;
    const std::vector<ConfigurationFinding> expected{
      { FindingKind::Difference, "route stream", "removed" },
      { FindingKind::Difference, "route lookup", "changed" },
      { FindingKind::Difference, "service spare", "added" },
      { FindingKind::Difference,
        "organisation lace",
        "changed; keys added 2, withdrawn 1" },
      { FindingKind::Difference, "limits", "changed" },
    };
    CHECK(CompareConfigurations(inForce, next) == expected);
  }

  WHEN("the list of organisations is dropped")
  {
    next.organisations.clear();
    next.listsOrganisations = false;
    const auto findings = CompareConfigurations(inForce, next);
    REQUIRE(findings.size() == 3);
    CHECK(findings.back().place == "organisations");
  }
}
