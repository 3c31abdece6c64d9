#include "wigeonwalk/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace wigeonwalk {

namespace {

std::string
NormaliseHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return host;
}

} // namespace

RouteTable::RouteTable(RoutingConfiguration aConfiguration)
  : configuration(std::move(aConfiguration))
  , domains(this->configuration)
{
  for (const Route& route : this->configuration.routes) {
    this->routesByHost[NormaliseHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->routesByHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->prefix.size() > aRight->prefix.size();
                     });
  }
  for (const auto& organisation : this->configuration.organisations) {
    for (const std::string& key : organisation.apiKeys) {
      // A request without a key has the empty one.
      if (!key.empty()) {
        this->organisationsByKey.emplace(key, &organisation);
      }
    }
  }
  for (const auto& service : this->configuration.services) {
    this->servicesByName.emplace(service.name, &service);
  }
}

const Route*
RouteTable::FindRoute(std::string_view aHost, std::string_view aTarget) const
{
  const auto routes = this->routesByHost.find(NormaliseHost(aHost));
  if (routes == this->routesByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* route : routes->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const OrganisationConfiguration*
RouteTable::FindOrganisation(std::string_view aKey) const
{
  const auto found = this->organisationsByKey.find(std::string(aKey));
  return found == this->organisationsByKey.end() ? nullptr : found->second;
}

bool
RouteTable::HasOrganisation(const OrganisationId& aName) const
{
  const auto& all = this->configuration.organisations;
  return std::any_of(all.begin(), all.end(), [&aName](const auto& aEntry) {
    return aEntry.name == aName;
  });
}

const ServiceConfiguration*
RouteTable::FindService(const ServiceName& aService) const
{
  const auto found = this->servicesByName.find(aService);
  return found == this->servicesByName.end() ? nullptr : found->second;
}

// For the same route, the same request id always chooses the same service.
const ServiceName*
ChooseService(const Route& aRoute, const RequestId& aRequest)
{
  std::uint64_t total = 0;
  for (const WeightedService& entry : aRoute.services) {
    total += entry.weight;
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t remaining = HashBytes(aRequest.Text(), 0).low % total;
  for (const WeightedService& entry : aRoute.services) {
    if (remaining < entry.weight) {
      return &entry.service;
    }
    remaining -= entry.weight;
  }
  return nullptr;
}

} // namespace wigeonwalk
