#include "wigeonwalk/zones/zones_out_of_use.h"

#include <algorithm>

namespace wigeonwalk {

bool
ZonesOutOfUse::TakeOut(const AvailabilityZone& aZone, TimePoint aNow)
{
  const bool wasOut = this->IsOut(aZone, aNow);
  Order& order = this->orders[aZone];
  order.since = wasOut ? order.since : aNow;
  order.until = TimePoint::max();
  return !wasOut;
}

bool
ZonesOutOfUse::TakeBack(const AvailabilityZone& aZone)
{
  return this->orders.erase(aZone) > 0;
}

void
ZonesOutOfUse::NoteMissing(const AvailabilityZone& aZone, TimePoint aNow)
{
  const auto order = this->orders.find(aZone);
  if (order != this->orders.end()) {
    order->second.until = std::min(order->second.until, aNow + kRestoredGrace);
  }
}

bool
ZonesOutOfUse::IsOut(const AvailabilityZone& aZone, TimePoint aNow) const
{
  const auto order = this->orders.find(aZone);
  return order != this->orders.end() && aNow < order->second.until;
}

std::vector<ZoneOutOfUse>
ZonesOutOfUse::All(TimePoint aNow) const
{
  std::vector<ZoneOutOfUse> out;
  for (const auto& [zone, order] : this->orders) {
    if (aNow < order.until) {
      out.push_back({ zone, order.since });
    }
  }
  return out;
}

} // namespace wigeonwalk
