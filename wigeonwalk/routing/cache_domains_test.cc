#include "wigeonwalk/routing/cache_domains.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace wigeonwalk;

namespace {

// Returns the domains of a configuration in which the named organisations are
// isolated, of those in `aAll`.
CacheDomains
DomainsOf(const std::vector<std::string>& aIsolated,
          const std::vector<std::string>& aAll = { "lace", "silk", "tofu" })
{
  RoutingConfiguration configuration;
  for (const std::string& name : aAll) {
    OrganisationConfiguration organisation;
    organisation.name = OrganisationId(name);
    organisation.apiKeys = { "key of " + name };
    organisation.isolated =
      std::find(aIsolated.begin(), aIsolated.end(), name) != aIsolated.end();
    configuration.organisations.push_back(std::move(organisation));
  }
  return CacheDomains(configuration);
}

std::string
DomainOf(const CacheDomains& aDomains, const std::string& aName)
{
  const OrganisationId organisation(aName);
  return aDomains.Of(&organisation);
}

} // namespace

// Guards against KV cache that an organisation made before it became isolated
// and that others go on using, as the domain that they shared kept its name.
SCENARIO("an isolated organisation leaves the domain that it shared")
{
  const CacheDomains open = DomainsOf({});
  CHECK(DomainOf(open, "lace") == DomainOf(open, "tofu"));
  CHECK(DomainOf(open, "lace") == open.Of(nullptr));

  WHEN("one becomes isolated")
  {
    const CacheDomains closed = DomainsOf({ "lace" });
    THEN("neither it nor the others use the domain of before")
    {
      CHECK(DomainOf(closed, "lace") != DomainOf(open, "lace"));
      CHECK(DomainOf(closed, "tofu") != DomainOf(open, "tofu"));
      CHECK(DomainOf(closed, "lace") != DomainOf(closed, "tofu"));
    }
    THEN("the others and callers without an organisation share one")
    {
      CHECK(DomainOf(closed, "tofu") == DomainOf(closed, "silk"));
      CHECK(closed.Of(nullptr) == DomainOf(closed, "silk"));
    }

    AND_WHEN("it is opened and isolated again")
    {
      THEN("it returns to what all made together, and leaves that again")
      {
        CHECK(DomainsOf({}) == open);
        CHECK(DomainsOf({ "lace" }) == closed);
      }
    }

    AND_WHEN("another one becomes isolated in its place, or beside it")
    {
      const CacheDomains other =
        DomainsOf(GENERATE(std::vector<std::string>{ "tofu" },
                           std::vector<std::string>{ "tofu", "lace" }));
      THEN("the rest share a domain that neither of the former ones is")
      {
        CHECK(DomainOf(other, "silk") != DomainOf(closed, "silk"));
        CHECK(DomainOf(other, "silk") != DomainOf(open, "silk"));
        CHECK(DomainOf(other, "tofu") != DomainOf(closed, "tofu"));
      }
    }
  }

  THEN("every domain of a request is listed")
  {
    const CacheDomains two = DomainsOf({ "lace", "silk" });
    CHECK(two.All() == std::set<std::string>{ DomainOf(two, "lace"),
                                              DomainOf(two, "silk"),
                                              DomainOf(two, "tofu") });
  }
}

// Guards against shared parts that all organisations read again after a change
// of the configuration that isolates none.
SCENARIO("other changes of the configuration change no domain")
{
  RoutingConfiguration configuration;
  configuration.version = 7;
  configuration.organisations = {
    { OrganisationId("lace"), { "k1" }, std::nullopt, true },
    { OrganisationId("tofu"), { "k2" }, std::nullopt, false },
    { OrganisationId("silk"), { "k3" }, std::nullopt, true },
  };
  const CacheDomains before(configuration);

  WHEN("keys, routes, services, priorities or the version change")
  {
    configuration.version = 8;
    configuration.organisations[0].apiKeys = { "k4", "k5" };
    configuration.organisations[1].priority = 3;
    configuration.routes.resize(2);
    configuration.services.resize(1);
    CHECK(CacheDomains(configuration) == before);
  }

  WHEN("the organisations are listed in another order")
  {
    std::swap(configuration.organisations[0], configuration.organisations[2]);
    CHECK(CacheDomains(configuration) == before);
  }

  WHEN("an organisation that shares is added")
  {
    configuration.organisations.push_back(
      { OrganisationId("veil"), { "k6" }, std::nullopt, false });
    CHECK(CacheDomains(configuration) == before);
  }
}

// Guards against names of organisations that make two domains equal.
SCENARIO("names of organisations are not taken for domains")
{
  THEN("sets of names that read alike in sequence differ")
  {
    const std::vector<std::string> all{ "a", "b", "ab", "c" };
    CHECK(DomainsOf({ "a", "b" }, all).Of(nullptr) !=
          DomainsOf({ "ab" }, all).Of(nullptr));
  }

  THEN("an isolated organisation named like a shared domain is apart from it")
  {
    const std::string shared = DomainsOf({ "lace" }).Of(nullptr);
    const CacheDomains domains = DomainsOf({ shared }, { shared, "tofu" });
    CHECK(DomainOf(domains, shared) != shared);
  }

  THEN("an organisation that is listed twice is isolated as a whole")
  {
    RoutingConfiguration configuration;
    configuration.organisations = {
      { OrganisationId("lace"), { "k1" }, std::nullopt, true },
      { OrganisationId("lace"), { "k2" }, std::nullopt, false },
    };
    const CacheDomains domains(configuration);
    CHECK(DomainOf(domains, "lace") != domains.Of(nullptr));
  }
}

// Guards against cache of a request with home regions that another request
// moves out of them.
SCENARIO("requests with home regions share cache only with the same homes")
{
  RoutingConfiguration configuration;
  const OrganisationId lace("lace");
  OrganisationConfiguration organisation;
  organisation.name = lace;
  organisation.homes = HomeRegions({ "east", "west" });
  configuration.organisations = { organisation };
  Route route;
  route.homes = HomeRegions({ "west" });
  configuration.routes = { Route(), route };
  const CacheDomains domains(configuration);
  const HomeRegions both = HomeRegions::Both(organisation.homes, route.homes);

  CHECK(domains.Of(&lace, organisation.homes) != domains.Of(&lace));
  CHECK(domains.Of(&lace, both) != domains.Of(&lace, organisation.homes));
  CHECK(domains.Of(&lace, both) == domains.Of(nullptr, route.homes));

  THEN("the domains that may be used include theirs")
  {
    for (const HomeRegions& homes :
         { HomeRegions(), organisation.homes, route.homes, both }) {
      CHECK(domains.All().contains(domains.Of(&lace, homes)));
    }
  }

  THEN("without homes the domain is the one of before")
  {
    CHECK(domains.Of(&lace) ==
          CacheDomains(RoutingConfiguration()).Of(nullptr));
  }
}
