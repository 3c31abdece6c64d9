// The text form of durations in settings, documents and operators' calls.
//
//   ParseDurationText("300ms");                   // 300'000 µs
//   PrintDurationText(std::chrono::minutes(10));  // "10m"
#pragma once

#include "wigeonwalk/base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns nothing for any text but a whole number with a unit.
std::optional<Duration>
ParseDurationText(std::string_view aText);

std::string
PrintDurationText(Duration aDuration);

} // namespace wigeonwalk
