// Decides in which order runners load new weights.
//
//   std::sort(pending.begin(), pending.end(), LoadsBefore);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

namespace wigeonwalk {

// A runner whose weights were replaced by newer ones.
struct PendingLoad
{
  UpstreamId runner;
  // The runner gets no requests after this time unless it has loaded.
  TimePoint usableUntil;
  // Time that failed attempts to load the newest weights have taken.
  Duration spent{ 0 };
};

// Returns true if the first runner should load before the second: the one whose
// weights run out first. The time spent on failed attempts counts against a
// runner, so that one that fails repeatedly does not block the others.
bool
LoadsBefore(const PendingLoad& aLeft, const PendingLoad& aRight);

} // namespace wigeonwalk
