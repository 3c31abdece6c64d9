// Availability zones that the operator has taken out of use.
//
//   zones.TakeOut(zone, now);
//   if (!zones.IsOut(runner.zone, now)) { ... it may get new requests ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <map>
#include <vector>

namespace wigeonwalk {

struct ZoneOutOfUse
{
  AvailabilityZone zone;
  // When this daemon learnt of it.
  TimePoint since;

  bool operator==(const ZoneOutOfUse&) const = default;
};

// The runners of a zone that is out of use get no new requests: first attempts,
// repeats, resumed streams, and requests whose runner was chosen but that have
// not been sent. What runs there goes on to its end, and the cached parts there
// stay a source. Not thread-safe.
class ZonesOutOfUse
{
public:
  // How long a zone stays out of use if the registry is restored from a copy
  // that lacks the operator's order: the operator writes it again.
  static constexpr Duration kRestoredGrace = std::chrono::seconds(5);

  // Returns true if the zone was in use.
  bool TakeOut(const AvailabilityZone& aZone, TimePoint aNow);

  // Returns true if the zone was out of use.
  bool TakeBack(const AvailabilityZone& aZone);

  // Records that the order is missing after a restore of the registry.
  void NoteMissing(const AvailabilityZone& aZone, TimePoint aNow);

  bool IsOut(const AvailabilityZone& aZone, TimePoint aNow) const;

  std::vector<ZoneOutOfUse> All(TimePoint aNow) const;

private:
  struct Order
  {
    TimePoint since;
    // The zone is in use again from this time on.
    TimePoint until = TimePoint::max();
  };

  std::map<AvailabilityZone, Order> orders;
};

} // namespace wigeonwalk
