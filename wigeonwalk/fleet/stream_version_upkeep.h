// Determines which list of streams' origins the registry should have.
//
//   StreamVersionUpkeep upkeep;
//   auto list = upkeep.Update(known, isRegistered, serving, now);
//   if (list) { ... write it ... }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/stream_versions.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace wigeonwalk {

// Returns the origins of all registered runners that may begin streams which
// can be taken up again, in ascending order.
std::vector<StreamOrigin>
ServingOrigins(const Fleet& aFleet, const RoutingConfiguration& aConfiguration);

// An origin is added when a registered runner has it, and removed when none has
// had it for kRetention. A list that is lost, or from an older copy of the
// registry, gets the unknown origin, as others may be missing. Not thread-safe.
class StreamVersionUpkeep
{
public:
  // How long after its last runner a version stays listed, because its streams
  // may be taken up again.
  static constexpr Duration kRetention = std::chrono::hours(24);

  // Returns the list that the registry should have, or nothing if it need not
  // be written. `aKnown` is the last list that this daemon has read, if any;
  // `aIsRegistered` tells whether the registry still has a list.
  std::optional<std::vector<StreamOrigin>> Update(
    const std::optional<StreamVersions>& aKnown,
    bool aIsRegistered,
    const std::vector<StreamOrigin>& aServing,
    TimePoint aNow);

private:
  void DropUnused(std::vector<StreamOrigin>& aOrigins,
                  const std::vector<StreamOrigin>& aServing,
                  TimePoint aNow);

  // Since when listed versions have had no runners.
  std::map<StreamOrigin, TimePoint> unusedSince;
};

} // namespace wigeonwalk
