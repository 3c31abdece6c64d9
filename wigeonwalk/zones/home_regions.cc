#include "wigeonwalk/zones/home_regions.h"

#include <algorithm>
#include <iterator>

namespace wigeonwalk {

HomeRegions::HomeRegions(const std::vector<std::string>& aRegions)
{
  if (!aRegions.empty()) {
    this->regions.emplace(aRegions.begin(), aRegions.end());
  }
}

HomeRegions
HomeRegions::Both(const HomeRegions& aLeft, const HomeRegions& aRight)
{
  if (!aLeft.regions) {
    return aRight;
  }
  if (!aRight.regions) {
    return aLeft;
  }
  HomeRegions both;
  both.regions.emplace();
  std::set_intersection(aLeft.regions->begin(),
                        aLeft.regions->end(),
                        aRight.regions->begin(),
                        aRight.regions->end(),
                        std::inserter(*both.regions, both.regions->end()));
  return both;
}

bool
HomeRegions::Allows(const std::string& aRegion) const
{
  return !this->regions ||
         (!aRegion.empty() && this->regions->contains(aRegion));
}

std::string
HomeRegions::Name() const
{
  std::string name;
  if (this->regions) {
    for (const std::string& region : *this->regions) {
      name += std::to_string(region.size()) + ":" + region;
    }
    name = "@" + name;
  }
  return name;
}

} // namespace wigeonwalk
