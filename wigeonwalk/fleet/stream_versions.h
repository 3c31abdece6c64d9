// The origins that streams may have, for take-ups of which no record is left.
//
//   if (auto only = OnlyOrigin(versions, serving)) { ... }
#pragma once

#include "wigeonwalk/fleet/stream_origin.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonwalk {

// Lists the origins of all streams that may still be taken up. Lies in the
// registry; a version is listed before its runners begin streams.
struct StreamVersions
{
  // In ascending order. An unknown one stands for all that may be missing.
  std::vector<StreamOrigin> origins;
  // Incarnation of the registry in which the list was written.
  std::int64_t incarnation = 0;
  // The list was written in the present incarnation. One from an older copy of
  // the registry may lack later origins.
  bool isComplete = true;

  bool Lists(const StreamOrigin& aOrigin) const;

  bool operator==(const StreamVersions&) const = default;
};

// Returns the union of two lists, in ascending order.
std::vector<StreamOrigin>
MergeOrigins(const std::vector<StreamOrigin>& aOne,
             const std::vector<StreamOrigin>& aOther);

// Returns the only origin that a stream can have, or nothing if there may be
// several. `aServing` are the origins of all registered runners that begin
// streams.
std::optional<StreamOrigin>
OnlyOrigin(const StreamVersions& aVersions,
           const std::vector<StreamOrigin>& aServing);

} // namespace wigeonwalk
