// When the versions of a model's weights were published.
//
//   WeightHistory history;
//   history.Record({ version, now, revision });
//   if (runner.VersionOf(model) >= history.NewestKnownAt(now - allowed)) { ...
//   }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/runner.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonwalk {

// No weights are older than this version.
inline constexpr WeightNumber kFirstWeights = 1;

// One version, and since when it is known to have been published.
struct PublishedWeights
{
  WeightNumber version = 0;
  TimePoint knownSince;
  // Revision of the registry at which it was published; zero if unknown.
  std::int64_t revision = 0;
  // It may have been published earlier, while this daemon did not watch.
  bool mayBeOlder = false;

  bool operator==(const PublishedWeights&) const = default;
};

// Keeps the time of each version: weights may be used for a limited time after
// the first newer ones were published, whatever is published later. Not
// thread-safe.
class WeightHistory
{
public:
  // Most versions that are kept. If more are published within the time limit,
  // the time of the oldest one counts for the next one as well.
  static constexpr std::size_t kMaxVersions = 16;

  // Adds a version. Of two times for the same version, the earlier one counts.
  // Returns true if the version is new or counts from an earlier time.
  bool Record(const PublishedWeights& aWeights);

  // Returns the newest version; version zero if none is known.
  PublishedWeights Newest() const;

  // Returns the newest version that was known at `aTime`, or zero.
  WeightNumber NewestKnownAt(TimePoint aTime) const;

  // Returns since when a newer version than `aVersion` is known, or nothing.
  std::optional<TimePoint> ReplacedAt(WeightNumber aVersion) const;

  // Returns the versions published after `aTime`, and the newest one before it,
  // oldest first.
  std::vector<PublishedWeights> NeededSince(TimePoint aTime) const;

  // Returns true if the version is known, exactly or not.
  bool Knows(WeightNumber aVersion) const;

  // Returns true if the version is known and can't be older than that.
  bool IsExact(WeightNumber aVersion) const;

  // Returns true if no version published after `aTime` may be older than known.
  bool IsExactSince(TimePoint aTime) const;

  // The known versions, oldest first.
  const std::vector<PublishedWeights>& Versions() const
  {
    return this->versions;
  }

private:
  // Ordered by version. No version is known later than a newer one.
  std::vector<PublishedWeights> versions;
};

} // namespace wigeonwalk
