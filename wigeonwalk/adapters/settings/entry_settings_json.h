// The settings of an entry daemon as JSON.
//
//   std::vector<FailureReason> reasons;
//   auto settings = ParseEntrySettings(text, reasons);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/entry/entry_settings.h"

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Returns the settings of a JSON text, or nothing and every error with the path
// of its key.
std::optional<EntrySettings>
ParseEntrySettings(std::string_view aText,
                   std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk
