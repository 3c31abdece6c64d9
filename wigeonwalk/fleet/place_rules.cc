#include "wigeonwalk/fleet/place_rules.h"

namespace wigeonwalk {

bool
PlaceRules::IsHome(const AvailabilityZone& aZone,
                   const HomeRegions& aHomes) const
{
  if (!aHomes.IsBound()) {
    return true;
  }
  const auto region = this->regions.find(aZone);
  return region != this->regions.end() && aHomes.Allows(region->second);
}

PlaceRefusal
PlaceRules::WhyNone(std::span<const std::shared_ptr<Runner>> aRunners,
                    const HomeRegions& aHomes,
                    TimePoint aNow) const
{
  bool anyAtHome = false;
  for (const auto& runner : aRunners) {
    const AvailabilityZone& zone = runner->entry.zone;
    if (this->Allows(zone, aHomes, aNow)) {
      return PlaceRefusal::None;
    }
    anyAtHome = anyAtHome || this->IsHome(zone, aHomes);
  }
  if (aRunners.empty()) {
    return PlaceRefusal::None;
  }
  return anyAtHome ? PlaceRefusal::ZonesOutOfUse : PlaceRefusal::NotAtHome;
}

} // namespace wigeonwalk
