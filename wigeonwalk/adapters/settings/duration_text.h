// Durations as text, as settings, documents and operators write them.
//
//   ParseDuration("300ms");                    // 300'000 us
//   PrintDuration(std::chrono::minutes(10));   // "10m"
#pragma once

#include "wigeonwalk/base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the duration of a number with a unit: us, ms, s, m or h.
std::optional<Duration>
ParseDuration(std::string_view aText);

// Returns the duration in the largest unit that loses nothing.
std::string
PrintDuration(Duration aDuration);

} // namespace wigeonwalk
