// Parses JSON and validates it against a schema, reporting every error.
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

// Maximum file size; the key-value service stores values of up to 1 MB.
inline constexpr std::size_t kMaxFileBytes = 1'000'000;

// Maximum nesting of objects and arrays; the schemas need 4.
inline constexpr std::size_t kMaxDepth = 16;

// Maximum number of errors listed for one file; a further entry states how many
// were omitted.
inline constexpr std::size_t kMaxReasons = 100;

// Returns the JSON value if it satisfies the schema. Otherwise, adds every
// error with the JSON pointer of its key as the place. The schema is JSON
// Schema draft 7 with the formats of TextFormat, "x-minimum" and "x-maximum"
// for durations and "x-unit" for the reference page.
std::optional<Json>
ParseChecked(std::string_view aText,
             std::string_view aSchema,
             std::vector<FailureReason>& aReasons);

// Adds an error. The place is usually the JSON pointer of a key.
void
AddReason(std::vector<FailureReason>& aReasons,
          ReasonCode aCode,
          std::string aDetail,
          std::string aPlace);

// Truncates the list to kMaxReasons errors and adds the number omitted.
void
LimitReasons(std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk::settings_internal
