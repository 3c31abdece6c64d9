#include "wigeonwalk/routing/cache_domains.h"

#include "wigeonwalk/base/hash128.h"

namespace wigeonwalk {

namespace {

// The prefixes keep an organisation's name from being taken for a shared
// domain.
constexpr char kIsolatedPrefix = '=';
constexpr char kSharedPrefix = '/';

std::string
IsolatedDomain(const std::string& aName)
{
  return kIsolatedPrefix + aName;
}

// Returns the name of the domain that all organisations but these share. It is
// empty if none is isolated.
std::string
SharedDomain(const std::set<std::string>& aIsolated)
{
  if (aIsolated.empty()) {
    return {};
  }
  std::string names;
  for (const std::string& name : aIsolated) {
    names += std::to_string(name.size()) + ":" + name;
  }
  return kSharedPrefix + HashBytes(names, 0).ToHex();
}

} // namespace

CacheDomains::CacheDomains(const RoutingConfiguration& aConfiguration)
{
  for (const auto& organisation : aConfiguration.organisations) {
    if (organisation.isolated) {
      this->isolated.insert(organisation.name.Text());
    }
  }
  this->shared = SharedDomain(this->isolated);
  std::vector<HomeRegions> callers{ HomeRegions() };
  for (const auto& organisation : aConfiguration.organisations) {
    callers.push_back(organisation.homes);
  }
  for (const Route& route : aConfiguration.routes) {
    for (const HomeRegions& caller : callers) {
      const HomeRegions both = HomeRegions::Both(route.homes, caller);
      if (both.IsBound()) {
        this->homes.insert(both.Name());
      }
    }
  }
}

std::string
CacheDomains::Of(const OrganisationId* aOrganisation,
                 const HomeRegions& aHomes) const
{
  const bool isIsolated =
    aOrganisation != nullptr && this->isolated.contains(aOrganisation->Text());
  return aHomes.Name() +
         (isIsolated ? IsolatedDomain(aOrganisation->Text()) : this->shared);
}

std::set<std::string>
CacheDomains::All() const
{
  std::set<std::string> all{ this->shared };
  for (const std::string& name : this->isolated) {
    all.insert(IsolatedDomain(name));
  }
  const std::set<std::string> anywhere = all;
  for (const std::string& domain : anywhere) {
    for (const std::string& name : this->homes) {
      all.insert(name + domain);
    }
  }
  return all;
}

} // namespace wigeonwalk
