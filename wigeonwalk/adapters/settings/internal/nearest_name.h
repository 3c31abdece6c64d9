// The known name that was probably meant.
//
//   NearestName("zoen", { "zone", "host" });   // "zone"
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk::settings_internal {

// Returns the known name with the fewest edits to the given one, or nothing
// where all differ in more than half of their letters. Only the first 64 bytes
// of the given name count, which bounds the work on hostile input.
std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aKnown);

} // namespace wigeonwalk::settings_internal
