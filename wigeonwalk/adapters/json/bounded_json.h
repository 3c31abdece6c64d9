// Parsing of JSON and MessagePack from other writers, within limits.
//
//   nlohmann::json json = ParseBoundedJson(text);
//   nlohmann::json message = ParseBoundedMsgpack(payload);
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace wigeonwalk {

// Limits of parsed text. The library recurses once for each level when it
// copies or prints a value or reads MessagePack, and a value takes up many
// times the memory of its text.
inline constexpr std::size_t kMaxJsonLevels = 32;
inline constexpr std::size_t kMaxJsonValues = 200'000;

// Parse the text, which must consist of exactly one value. If a key occurs more
// than once in an object, its last value counts. Throw
// nlohmann::json::exception for invalid text, and std::runtime_error for text
// that exceeds the limits.
nlohmann::json
ParseBoundedJson(std::string_view aText);
nlohmann::json
ParseBoundedMsgpack(std::string_view aBytes);

} // namespace wigeonwalk
