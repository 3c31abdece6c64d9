// Where a request may be processed: in zones that are in use, and in its home
// regions.
//
//   const PlaceRules places(zonesOutOfUse, regionOfZone);
//   if (places.Allows(runner.entry.zone, homes, now)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/zones/home_regions.h"
#include "wigeonwalk/zones/zones_out_of_use.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>

namespace wigeonwalk {

// Why no runner of a service may get a request.
enum class PlaceRefusal
{
  // Some runner may.
  None,
  // All runners that the homes allow are in zones out of use.
  ZonesOutOfUse,
  // No runner is in a home region.
  NotAtHome,
};

template<>
struct EnumNames<PlaceRefusal>
{
  static constexpr std::array<EnumName<PlaceRefusal>, 3> kTable{ {
    { PlaceRefusal::None, "none" },
    { PlaceRefusal::ZonesOutOfUse, "zones-out-of-use" },
    { PlaceRefusal::NotAtHome, "not-at-home" },
  } };
};
static_assert(HasCompleteTable<PlaceRefusal>());

// Refers to its arguments, which must outlive it.
class PlaceRules
{
public:
  PlaceRules(const ZonesOutOfUse& aOutOfUse, const ZoneRegions& aRegions)
    : outOfUse(aOutOfUse)
    , regions(aRegions)
  {
  }

  // Returns true if the zone's region is a home.
  bool IsHome(const AvailabilityZone& aZone, const HomeRegions& aHomes) const;

  // Returns true if a runner in the zone may get new requests with these homes.
  bool Allows(const AvailabilityZone& aZone,
              const HomeRegions& aHomes,
              TimePoint aNow) const
  {
    return !this->outOfUse.IsOut(aZone, aNow) && this->IsHome(aZone, aHomes);
  }

  // Returns why none of a service's runners may get a request; None as well if
  // the service has no runners.
  PlaceRefusal WhyNone(std::span<const std::shared_ptr<Runner>> aRunners,
                       const HomeRegions& aHomes,
                       TimePoint aNow) const;

private:
  const ZonesOutOfUse& outOfUse;
  const ZoneRegions& regions;
};

} // namespace wigeonwalk
