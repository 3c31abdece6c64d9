// Checks a configuration before an operator sends it.
//
//   for (const auto& finding : CheckConfiguration(next, regions)) { ... }
//   for (const auto& finding : CompareConfigurations(inForce, next)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <string>
#include <vector>

namespace wigeonwalk {

enum class FindingKind
{
  // The configuration can't work as it says.
  Error,
  // An entry that no request can reach.
  NeverMatches,
  // Limits that can't hold together.
  Contradiction,
  // The entry differs from the version in force.
  Difference,
};

template<>
struct EnumNames<FindingKind>
{
  static constexpr std::array<EnumName<FindingKind>, 4> kTable{ {
    { FindingKind::Error, "error" },
    { FindingKind::NeverMatches, "never-matches" },
    { FindingKind::Contradiction, "contradiction" },
    { FindingKind::Difference, "difference" },
  } };
};
static_assert(HasCompleteTable<FindingKind>());

struct ConfigurationFinding
{
  FindingKind kind = FindingKind::Error;
  // The entry, such as "route lookup".
  std::string place;
  std::string detail;

  bool operator==(const ConfigurationFinding&) const = default;
};

// Returns errors, entries that can never match, and contradictions. Homes are
// compared with the regions only if these are known.
std::vector<ConfigurationFinding>
CheckConfiguration(const RoutingConfiguration& aConfiguration,
                   const ZoneRegions& aRegions);

// Returns what `aNext` changes. A version that does not rise is an error. API
// keys are counted, not shown.
std::vector<ConfigurationFinding>
CompareConfigurations(const RoutingConfiguration& aInForce,
                      const RoutingConfiguration& aNext);

} // namespace wigeonwalk
