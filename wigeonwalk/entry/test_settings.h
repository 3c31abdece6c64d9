// Settings of the daemons in tests.
#pragma once

#include "wigeonwalk/entry/entry_settings.h"

#include <string>

namespace wigeonwalk {

// Settings of a daemon in the zone "north".
inline EntrySettings
MakeSettings(const std::string& aHost)
{
  EntrySettings settings;
  settings.host = HostId(aHost);
  settings.zone = AvailabilityZone("north");
  return settings;
}

} // namespace wigeonwalk
