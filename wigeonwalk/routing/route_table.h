// Lookup of routes, organisations and services in one configuration.
//
//   RouteTable table(configuration);
//   const Route* route = table.FindRoute("orders.example", "/bookings/7");
//   const OrganisationConfiguration* caller = table.FindOrganisation(key);
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/routing/cache_domains.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Immutable. Pointers into it live as long as the table.
class RouteTable
{
public:
  explicit RouteTable(RoutingConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the host's route with the longest matching path prefix, or null.
  // Host names are case-insensitive; a port and a query are ignored.
  const Route* FindRoute(std::string_view aHost,
                         std::string_view aTarget) const;

  // Returns the organisation that holds the API key, or null.
  const OrganisationConfiguration* FindOrganisation(
    std::string_view aKey) const;

  // Returns true if the configuration has the organisation.
  bool HasOrganisation(const OrganisationId& aName) const;

  const ServiceConfiguration* FindService(const ServiceName& aService) const;

  // Returns true if callers need an API key on routes that are not public.
  bool RequiresApiKeys() const
  {
    return this->configuration.listsOrganisations ||
           !this->configuration.organisations.empty();
  }

  const CacheDomains& Domains() const { return this->domains; }

  const RoutingConfiguration& Configuration() const
  {
    return this->configuration;
  }

private:
  RoutingConfiguration configuration;
  CacheDomains domains;
  // The routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routesByHost;
  std::unordered_map<std::string, const OrganisationConfiguration*>
    organisationsByKey;
  std::unordered_map<ServiceName, const ServiceConfiguration*> servicesByName;
};

// Returns the service for a request, chosen in proportion to the weights and
// always the same one for the same request id. Null if all weights are zero.
const ServiceName*
ChooseService(const Route& aRoute, const RequestId& aRequest);

} // namespace wigeonwalk
