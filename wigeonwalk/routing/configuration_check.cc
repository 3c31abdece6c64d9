#include "wigeonwalk/routing/configuration_check.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string_view>
#include <utility>

namespace wigeonwalk {

namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string
PlaceOf(const Route& aRoute)
{
  return "route " + aRoute.name;
}

std::string
PlaceOf(const ServiceConfiguration& aService)
{
  return "service " + aService.name.Text();
}

std::string
PlaceOf(const OrganisationConfiguration& aOrganisation)
{
  return "organisation " + aOrganisation.name.Text();
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

// Reports entries whose place an earlier entry has.
template<typename Entry>
void
CheckNames(const std::vector<Entry>& aEntries, Findings& aFindings)
{
  std::set<std::string> places;
  for (const Entry& entry : aEntries) {
    if (!places.insert(PlaceOf(entry)).second) {
      aFindings.push_back(
        { FindingKind::Error, PlaceOf(entry), "the name occurs twice" });
    }
  }
}

void
CheckServicesOf(const Route& aRoute,
                const RoutingConfiguration& aConfiguration,
                Findings& aFindings)
{
  std::uint64_t weights = 0;
  for (const WeightedService& part : aRoute.services) {
    weights += part.weight;
    const auto found = std::find_if(
      aConfiguration.services.begin(),
      aConfiguration.services.end(),
      [&part](const auto& aService) { return aService.name == part.service; });
    if (found == aConfiguration.services.end()) {
      aFindings.push_back({ FindingKind::Error,
                            PlaceOf(aRoute),
                            "no service " + part.service.Text() });
    } else if (found->cacheStore) {
      aFindings.push_back({ FindingKind::Error,
                            PlaceOf(aRoute),
                            part.service.Text() + " is a store of cache" });
    }
    if (part.weight == 0) {
      aFindings.push_back({ FindingKind::NeverMatches,
                            PlaceOf(aRoute),
                            part.service.Text() + " has no weight" });
    }
  }
  if (weights == 0) {
    aFindings.push_back(
      { FindingKind::Error, PlaceOf(aRoute), "all weights are zero" });
  }
}

void
CheckTimes(const Route& aRoute, Findings& aFindings)
{
  const std::string place = PlaceOf(aRoute);
  if (aRoute.timeout <= Duration(0)) {
    aFindings.push_back({ FindingKind::Error, place, "the timeout is zero" });
  }
  if (aRoute.targetLatency > aRoute.timeout) {
    aFindings.push_back({ FindingKind::Contradiction,
                          place,
                          "the target latency is beyond the timeout" });
  }
  if (aRoute.targetGap > aRoute.timeout) {
    aFindings.push_back({ FindingKind::Contradiction,
                          place,
                          "the target gap is beyond the timeout" });
  }
  if (aRoute.targetGap > Duration(0) && aRoute.kind != RequestKind::Streaming) {
    aFindings.push_back(
      { FindingKind::Contradiction, place, "a target gap, but no stream" });
  }
  if (aRoute.resumable && aRoute.kind != RequestKind::Streaming) {
    aFindings.push_back(
      { FindingKind::Contradiction, place, "resumable, but no stream" });
  }
}

void
CheckRoutes(const RoutingConfiguration& aConfiguration, Findings& aFindings)
{
  std::set<std::pair<std::string, std::string>> matched;
  for (const Route& route : aConfiguration.routes) {
    const std::string place = PlaceOf(route);
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
      aFindings.push_back({ FindingKind::Error,
                            place,
                            "the prefix must begin and end with a slash" });
    }
    if (route.host.find(':') != std::string::npos) {
      aFindings.push_back({ FindingKind::NeverMatches,
                            place,
                            "the port of a request's host is ignored" });
    }
    if (!matched.emplace(Lower(route.host), route.prefix).second) {
      aFindings.push_back({ FindingKind::NeverMatches,
                            place,
                            "an earlier route has its host and prefix" });
    }
    CheckServicesOf(route, aConfiguration, aFindings);
    CheckTimes(route, aFindings);
  }
}

void
CheckOrganisations(const RoutingConfiguration& aConfiguration,
                   Findings& aFindings)
{
  std::map<std::string_view, std::string> holders;
  for (const auto& organisation : aConfiguration.organisations) {
    const std::string place = PlaceOf(organisation);
    if (organisation.apiKeys.empty()) {
      aFindings.push_back(
        { FindingKind::NeverMatches, place, "it has no keys" });
    }
    for (const std::string& key : organisation.apiKeys) {
      if (key.empty()) {
        aFindings.push_back(
          { FindingKind::NeverMatches, place, "one of its keys is empty" });
        continue;
      }
      const auto [holder, isNew] = holders.emplace(key, place);
      if (!isNew) {
        aFindings.push_back({ FindingKind::Error,
                              place,
                              "one of its keys is that of " + holder->second });
      }
    }
  }
  const bool anyPublic =
    std::any_of(aConfiguration.routes.begin(),
                aConfiguration.routes.end(),
                [](const Route& aRoute) { return aRoute.isPublic; });
  if (aConfiguration.listsOrganisations &&
      aConfiguration.organisations.empty() && !anyPublic) {
    aFindings.push_back({ FindingKind::Contradiction,
                          "organisations",
                          "the list is empty and no route is public, so no "
                          "request is admitted" });
  }
}

void
CheckUse(const RoutingConfiguration& aConfiguration, Findings& aFindings)
{
  std::set<ServiceName> used;
  for (const Route& route : aConfiguration.routes) {
    for (const WeightedService& part : route.services) {
      used.insert(part.service);
    }
  }
  for (const auto& service : aConfiguration.services) {
    if (!service.cacheStore && !used.contains(service.name)) {
      aFindings.push_back(
        { FindingKind::NeverMatches, PlaceOf(service), "no route uses it" });
    }
  }
}

// Returns true if a zone lies in one of the homes.
bool
HasZone(const HomeRegions& aHomes, const ZoneRegions& aRegions)
{
  return std::any_of(
    aRegions.begin(), aRegions.end(), [&aHomes](const auto& aZone) {
      return aHomes.Allows(aZone.second);
    });
}

void
CheckHomes(const RoutingConfiguration& aConfiguration,
           const ZoneRegions& aRegions,
           Findings& aFindings)
{
  const auto check = [&](const std::string& aPlace, const HomeRegions& aHomes) {
    if (!aRegions.empty() && aHomes.IsBound() && !HasZone(aHomes, aRegions)) {
      aFindings.push_back({ FindingKind::Contradiction,
                            aPlace,
                            "no zone is in one of its home regions" });
    }
  };
  for (const Route& route : aConfiguration.routes) {
    check(PlaceOf(route), route.homes);
  }
  for (const auto& organisation : aConfiguration.organisations) {
    check(PlaceOf(organisation), organisation.homes);
    for (const Route& route : aConfiguration.routes) {
      if (!route.isPublic &&
          HomeRegions::Both(route.homes, organisation.homes).AllowsNone()) {
        aFindings.push_back(
          { FindingKind::Contradiction,
            PlaceOf(organisation),
            "no home region in common with " + PlaceOf(route) });
      }
    }
  }
}

void
CheckBounds(const CallerBounds& aBounds, Findings& aFindings)
{
  if (aBounds.headerBytes == 0 || aBounds.headerTimeout <= Duration(0) ||
      aBounds.idleTimeout <= Duration(0)) {
    aFindings.push_back({ FindingKind::Contradiction,
                          "limits",
                          "a limit of zero admits no request" });
  }
}

template<typename Entry>
std::map<std::string, Entry>
ByPlace(const std::vector<Entry>& aEntries)
{
  std::map<std::string, Entry> entries;
  for (const Entry& entry : aEntries) {
    entries.emplace(PlaceOf(entry), entry);
  }
  return entries;
}

template<typename Entry>
std::string
WhatChanged(const Entry&, const Entry&)
{
  return "changed";
}

std::string
WhatChanged(const OrganisationConfiguration& aOld,
            const OrganisationConfiguration& aNew)
{
  const std::set<std::string> before(aOld.apiKeys.begin(), aOld.apiKeys.end());
  const std::set<std::string> after(aNew.apiKeys.begin(), aNew.apiKeys.end());
  const auto missing = [](const auto& aFrom, const auto& aIn) {
    return std::count_if(
      aFrom.begin(), aFrom.end(), [&aIn](const std::string& aKey) {
        return !aIn.contains(aKey);
      });
  };
  return "changed; keys added " + std::to_string(missing(after, before)) +
         ", withdrawn " + std::to_string(missing(before, after));
}

template<typename Entry>
void
Compare(const std::vector<Entry>& aOld,
        const std::vector<Entry>& aNew,
        Findings& aFindings)
{
  const auto before = ByPlace(aOld);
  const auto after = ByPlace(aNew);
  for (const auto& [place, entry] : before) {
    if (!after.contains(place)) {
      aFindings.push_back({ FindingKind::Difference, place, "removed" });
    }
  }
  for (const auto& [place, entry] : after) {
    const auto old = before.find(place);
    if (old == before.end()) {
      aFindings.push_back({ FindingKind::Difference, place, "added" });
    } else if (old->second != entry) {
      aFindings.push_back(
        { FindingKind::Difference, place, WhatChanged(old->second, entry) });
    }
  }
}

} // namespace

std::vector<ConfigurationFinding>
CheckConfiguration(const RoutingConfiguration& aConfiguration,
                   const ZoneRegions& aRegions)
{
  Findings findings;
  CheckNames(aConfiguration.routes, findings);
  CheckNames(aConfiguration.services, findings);
  CheckNames(aConfiguration.organisations, findings);
  CheckRoutes(aConfiguration, findings);
  CheckUse(aConfiguration, findings);
  CheckOrganisations(aConfiguration, findings);
  CheckHomes(aConfiguration, aRegions, findings);
  CheckBounds(aConfiguration.bounds, findings);
  return findings;
}

std::vector<ConfigurationFinding>
CompareConfigurations(const RoutingConfiguration& aInForce,
                      const RoutingConfiguration& aNext)
{
  Findings findings;
  if (aNext.version <= aInForce.version) {
    findings.push_back({ FindingKind::Error,
                         "version",
                         std::to_string(aNext.version) + " is not above " +
                           std::to_string(aInForce.version) +
                           ", which is in force" });
  }
  Compare(aInForce.routes, aNext.routes, findings);
  Compare(aInForce.services, aNext.services, findings);
  Compare(aInForce.organisations, aNext.organisations, findings);
  if (aInForce.bounds != aNext.bounds) {
    findings.push_back({ FindingKind::Difference, "limits", "changed" });
  }
  if (aInForce.listsOrganisations && !aNext.listsOrganisations) {
    findings.push_back({ FindingKind::Difference,
                         "organisations",
                         "no list any more: callers need no keys" });
  }
  return findings;
}

} // namespace wigeonwalk
