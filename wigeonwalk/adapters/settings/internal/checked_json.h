// JSON texts checked whole against a schema.
//
//   auto json = ParseChecked(text, kDaemonSettingsSchema, reasons);
//   if (!json) { /* each entry of reasons names a key's path */ }
#pragma once

#include "wigeonwalk/base/failure_reason.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk::settings_internal {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

// Largest file: the key-value service holds values up to 1 MB.
inline constexpr std::size_t kMaxFileBytes = 1'000'000;

// Deepest nesting of objects and arrays; the schemas need 4.
inline constexpr std::size_t kMaxDepth = 16;

// Most errors listed for one file; one more says how many were left out.
inline constexpr std::size_t kMaxReasons = 100;

// Returns the JSON value of a text that satisfies the schema. Otherwise lists
// every error with the JSON pointer of its key as the place. The schema is JSON
// schema draft 7 with the formats of TextFormat, "x-minimum" and "x-maximum"
// for durations and "x-unit" for the reference page.
std::optional<Json>
ParseChecked(std::string_view aText,
             std::string_view aSchema,
             std::vector<FailureReason>& aReasons);

// Adds an error with its place.
void
AddReason(std::vector<FailureReason>& aReasons,
          ReasonCode aCode,
          std::string aDetail,
          std::string aPlace);

// Cuts the list after kMaxReasons errors.
void
LimitReasons(std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk::settings_internal
