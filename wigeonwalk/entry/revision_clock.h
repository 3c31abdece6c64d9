// Estimates how long ago a registry item was written.
//
//   RevisionClock clock;
//   clock.Note(revision, now);   // with each answer of the registry
//   if (auto age = clock.AgeAtStart(item.revision)) { ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>

namespace wigeonwalk {

// A daemon that starts does not know when the items that it finds were written,
// and hosts' times of day can't be compared. Runners' heartbeats raise the
// registry's revision at a steady rate, so the difference of two revisions
// gives the time between them. The estimate does not count outages of the
// registry, in which nothing is written. Not thread-safe.
class RevisionClock
{
public:
  // The rate is known after this time.
  static constexpr Duration kMinObservation = std::chrono::seconds(2);

  void Note(std::int64_t aRevision, TimePoint aNow);

  // Returns the age of an item at the first call of Note; zero if it was
  // written later, or nothing while the rate is unknown.
  std::optional<Duration> AgeAtStart(std::int64_t aItemRevision) const;

private:
  std::int64_t firstRevision = 0;
  std::int64_t lastRevision = 0;
  TimePoint firstAt;
  TimePoint lastAt;
};

} // namespace wigeonwalk
