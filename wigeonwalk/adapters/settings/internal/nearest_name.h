// Suggests the known name that is closest to a mistyped one.
//
//   NearestName("zoen", { "zone", "host" });   // "zone"
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk::settings_internal {

// Returns the known name with the smallest edit distance to the given one, or
// nothing if every distance exceeds half the length of the longer name.
// Compares only the first 64 bytes of the given name, which bounds the work on
// hostile input.
std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aKnown);

} // namespace wigeonwalk::settings_internal
