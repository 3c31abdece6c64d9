// Which runners may continue a stream.
//
//   if (MayContinue(origin, { service, runner.SoftwareVersion() })) { ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

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

// Where a stream began. An unknown origin tells that contradictory ones have
// been reported.
struct StreamRecord
{
  Hash128 key;
  StreamOrigin origin;

  bool operator==(const StreamRecord&) const = default;
};

// Records of streams that one daemon has written to the registry together.
struct StreamBatch
{
  HostId writer;
  // Differs between the batches of a writer.
  std::int64_t number = 0;
  std::vector<StreamRecord> streams;

  bool operator==(const StreamBatch&) const = default;
};

// Returns true if a stream may be continued by runners of another origin. An
// unknown version equals none, itself included.
inline bool
MayContinue(const StreamOrigin& aStream, const StreamOrigin& aRunner)
{
  return aStream.IsKnown() && aStream == aRunner;
}

} // namespace wigeonwalk
