#include "wigeonwalk/fleet/stream_versions.h"

#include <algorithm>
#include <iterator>

namespace wigeonwalk {

bool
StreamVersions::Lists(const StreamOrigin& aOrigin) const
{
  return std::binary_search(
    this->origins.begin(), this->origins.end(), aOrigin);
}

std::vector<StreamOrigin>
MergeOrigins(const std::vector<StreamOrigin>& aOne,
             const std::vector<StreamOrigin>& aOther)
{
  std::vector<StreamOrigin> merged = aOne;
  merged.insert(merged.end(), aOther.begin(), aOther.end());
  std::sort(merged.begin(), merged.end());
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  return merged;
}

std::optional<StreamOrigin>
OnlyOrigin(const StreamVersions& aVersions,
           const std::vector<StreamOrigin>& aServing)
{
  const auto all = MergeOrigins(aVersions.origins, aServing);
  if (!aVersions.isComplete || aVersions.origins.empty() || all.size() != 1 ||
      !all.front().IsKnown()) {
    return std::nullopt;
  }
  return all.front();
}

} // namespace wigeonwalk
