// Regions in which requests of a route or an organisation may be processed.
//
//   const HomeRegions homes =
//     HomeRegions::Both(route.homes, organisation.homes);
//   if (homes.Allows(regionOfRunner)) { ... }
#pragma once

#include "wigeonwalk/base/ids.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonwalk {

// Region of each availability zone that is known.
using ZoneRegions = std::map<AvailabilityZone, std::string>;

// Immutable. Without homes, every region is allowed, also an unknown one. With
// homes, an unknown region, the empty name, is none of them.
class HomeRegions
{
public:
  HomeRegions() = default;

  // An empty list stands for no homes.
  explicit HomeRegions(const std::vector<std::string>& aRegions);

  // Returns the regions that both allow. If they have none in common, no region
  // is allowed.
  static HomeRegions Both(const HomeRegions& aLeft, const HomeRegions& aRight);

  bool Allows(const std::string& aRegion) const;

  // Returns true if there are homes.
  bool IsBound() const { return this->regions.has_value(); }

  // Returns true if there are homes, but none that could be used.
  bool AllowsNone() const { return this->regions && this->regions->empty(); }

  // Returns a text that is the same for the same homes, and empty without any.
  std::string Name() const;

  bool operator==(const HomeRegions&) const = default;

private:
  std::optional<std::set<std::string>> regions;
};

} // namespace wigeonwalk
