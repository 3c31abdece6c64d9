// Settings of the daemons in tests.
#pragma once

#include "wigeonwalk/entry/entry_settings.h"

#include <string>

namespace wigeonwalk {

// Settings of a daemon in the zone "north".
inline EntrySettings
MakeSettings(const std::string& aHost, const EntryBounds& aBounds = {})
{
  EntrySettings settings;
  settings.host = HostId(aHost);
  settings.zone = AvailabilityZone("north");
  settings.bounds = aBounds;
  return settings;
}

} // namespace wigeonwalk
