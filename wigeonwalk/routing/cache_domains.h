// Which organisations may use each other's KV cache.
//
//   CacheDomains domains(configuration);
//   const std::string domain = domains.Of(organisation, homes);
#pragma once

#include "wigeonwalk/routing/routing_configuration.h"

#include <set>
#include <string>

namespace wigeonwalk {

// Each isolated organisation has a domain of its own; the others share one that
// is named after the set of isolated organisations. So cache in a shared domain
// was made only by organisations that share it, whatever was isolated or opened
// in between, and daemons with the same configuration use the same names. What
// an organisation made before it became isolated stays behind in the domain
// that was shared until then. Requests with home regions share cache only with
// requests of the same homes, as others may move it elsewhere. Immutable.
class CacheDomains
{
public:
  explicit CacheDomains(const RoutingConfiguration& aConfiguration);

  // Returns the domain of requests with these homes of an organisation, or of
  // callers without one if it is null.
  std::string Of(const OrganisationId* aOrganisation,
                 const HomeRegions& aHomes = {}) const;

  // Returns all domains that requests may use.
  std::set<std::string> All() const;

  bool operator==(const CacheDomains&) const = default;

private:
  std::set<std::string> isolated;
  std::string shared;
  // Names of the homes that requests may have; see HomeRegions::Name.
  std::set<std::string> homes;
};

} // namespace wigeonwalk
