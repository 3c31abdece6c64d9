#include "wigeonwalk/fleet/weight_history.h"

#include <algorithm>

namespace wigeonwalk {

bool
WeightHistory::Record(const PublishedWeights& aWeights)
{
  const auto position =
    std::lower_bound(this->versions.begin(),
                     this->versions.end(),
                     aWeights.version,
                     [](const PublishedWeights& aKnown, WeightNumber aVersion) {
                       return aKnown.version < aVersion;
                     });
  const bool isKnown =
    position != this->versions.end() && position->version == aWeights.version;
  if (isKnown && position->knownSince <= aWeights.knownSince) {
    // The time of a later write of the version says nothing of the first one.
    const bool isLaterWrite =
      position->revision > 0 && aWeights.revision > position->revision;
    position->mayBeOlder =
      position->mayBeOlder && (aWeights.mayBeOlder || isLaterWrite);
    return false;
  }
  TimePoint since = aWeights.knownSince;
  if (!isKnown && position != this->versions.end()) {
    since = std::min(since, position->knownSince);
  }
  const auto added =
    isKnown ? position : this->versions.insert(position, aWeights);
  added->knownSince = since;
  added->mayBeOlder = aWeights.mayBeOlder;
  // Versions are published in ascending order.
  for (auto older = this->versions.begin(); older != added; ++older) {
    older->knownSince = std::min(older->knownSince, since);
  }
  if (this->versions.size() > kMaxVersions) {
    this->versions[1].knownSince = this->versions[0].knownSince;
    this->versions.erase(this->versions.begin());
  }
  return true;
}

PublishedWeights
WeightHistory::Newest() const
{
  return this->versions.empty() ? PublishedWeights{} : this->versions.back();
}

WeightNumber
WeightHistory::NewestKnownAt(TimePoint aTime) const
{
  WeightNumber newest = 0;
  for (const PublishedWeights& known : this->versions) {
    if (known.knownSince <= aTime) {
      newest = known.version;
    }
  }
  return newest;
}

std::optional<TimePoint>
WeightHistory::ReplacedAt(WeightNumber aVersion) const
{
  for (const PublishedWeights& known : this->versions) {
    if (known.version > aVersion) {
      return known.knownSince;
    }
  }
  return std::nullopt;
}

std::vector<PublishedWeights>
WeightHistory::NeededSince(TimePoint aTime) const
{
  auto first = std::find_if(this->versions.begin(),
                            this->versions.end(),
                            [aTime](const PublishedWeights& aKnown) {
                              return aKnown.knownSince > aTime;
                            });
  if (first != this->versions.begin()) {
    --first;
  }
  return { first, this->versions.end() };
}

bool
WeightHistory::Knows(WeightNumber aVersion) const
{
  return std::any_of(this->versions.begin(),
                     this->versions.end(),
                     [aVersion](const PublishedWeights& aKnown) {
                       return aKnown.version == aVersion;
                     });
}

bool
WeightHistory::IsExact(WeightNumber aVersion) const
{
  return std::any_of(this->versions.begin(),
                     this->versions.end(),
                     [aVersion](const PublishedWeights& aKnown) {
                       return aKnown.version == aVersion && !aKnown.mayBeOlder;
                     });
}

bool
WeightHistory::IsExactSince(TimePoint aTime) const
{
  return std::none_of(this->versions.begin(),
                      this->versions.end(),
                      [aTime](const PublishedWeights& aKnown) {
                        return aKnown.mayBeOlder && aKnown.knownSince > aTime;
                      });
}

} // namespace wigeonwalk
