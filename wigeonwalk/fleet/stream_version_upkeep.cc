#include "wigeonwalk/fleet/stream_version_upkeep.h"

#include <algorithm>

namespace wigeonwalk {

std::vector<StreamOrigin>
ServingOrigins(const Fleet& aFleet, const RoutingConfiguration& aConfiguration)
{
  std::vector<ServiceName> services;
  for (const Route& route : aConfiguration.routes) {
    if (route.CanBeResumed()) {
      for (const WeightedService& part : route.services) {
        services.push_back(part.service);
      }
    }
  }
  std::vector<StreamOrigin> origins;
  for (const auto& runner : aFleet.All()) {
    const ServiceName& service = runner->entry.service;
    const StreamOrigin origin = runner->Origin();
    if (std::find(services.begin(), services.end(), service) !=
          services.end() &&
        std::find(origins.begin(), origins.end(), origin) == origins.end()) {
      origins.push_back(origin);
    }
  }
  std::sort(origins.begin(), origins.end());
  return origins;
}

std::optional<std::vector<StreamOrigin>>
StreamVersionUpkeep::Update(const std::optional<StreamVersions>& aKnown,
                            bool aIsRegistered,
                            const std::vector<StreamOrigin>& aServing,
                            TimePoint aNow)
{
  if (aServing.empty() && !aKnown) {
    return std::nullopt;
  }
  const bool isLost = aKnown && (!aIsRegistered || !aKnown->isComplete);
  auto origins = aKnown ? MergeOrigins(aKnown->origins, aServing) : aServing;
  this->DropUnused(origins, aServing, aNow);
  if (isLost) {
    origins = MergeOrigins(origins, { StreamOrigin() });
  }
  if (!isLost && aKnown && origins == aKnown->origins) {
    return std::nullopt;
  }
  return origins;
}

void
StreamVersionUpkeep::DropUnused(std::vector<StreamOrigin>& aOrigins,
                                const std::vector<StreamOrigin>& aServing,
                                TimePoint aNow)
{
  for (const StreamOrigin& origin : aServing) {
    this->unusedSince.erase(origin);
  }
  std::erase_if(aOrigins, [&](const StreamOrigin& aOrigin) {
    if (std::binary_search(aServing.begin(), aServing.end(), aOrigin)) {
      return false;
    }
    const auto [unused, isNew] = this->unusedSince.try_emplace(aOrigin, aNow);
    return aNow - unused->second >= kRetention;
  });
}

} // namespace wigeonwalk
