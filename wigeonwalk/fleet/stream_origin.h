// Which runners may continue a stream.
//
//   if (MayContinue(origin, { service, runner.SoftwareVersion() })) { ... }
#pragma once

#include "wigeonwalk/base/ids.h"

#include <compare>
#include <string>

namespace wigeonwalk {

// The service and the version of the runners' software that began a stream.
// What two versions generate doesn't fit together.
struct StreamOrigin
{
  ServiceName service;
  // Empty if unknown.
  std::string version;

  bool IsKnown() const { return !this->version.empty(); }

  auto operator<=>(const StreamOrigin&) const = default;
};

// Returns true if a stream may be continued by runners of another origin. An
// unknown version equals none, itself included.
inline bool
MayContinue(const StreamOrigin& aStream, const StreamOrigin& aRunner)
{
  return aStream.IsKnown() && aStream == aRunner;
}

} // namespace wigeonwalk
