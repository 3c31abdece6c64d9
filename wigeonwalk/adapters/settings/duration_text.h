// Parses and prints durations in settings, documents and operator commands.
//
//   ParseDuration("300ms");                    // 300'000 us
//   PrintDuration(std::chrono::minutes(10));   // "10m"
#pragma once

#include "wigeonwalk/base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Parses a whole number followed by a unit: us, ms, s, m or h. Returns nothing
// for any other text.
std::optional<Duration>
ParseDuration(std::string_view aText);

// Prints the duration in the largest unit that represents it exactly.
std::string
PrintDuration(Duration aDuration);

} // namespace wigeonwalk
