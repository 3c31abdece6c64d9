// Parses the JSON settings of an entry daemon.
//
//   std::vector<FailureReason> reasons;
//   auto settings = ParseEntrySettings(text, reasons);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/entry/entry_settings.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Parses and validates a JSON text. On failure, returns nothing and adds every
// error with the path of its key.
std::optional<EntrySettings>
ParseEntrySettings(std::string_view aText,
                   std::vector<FailureReason>& aReasons);

// Parses the regions of availability zones, a JSON object of zones and their
// regions. On failure, returns nothing and adds every error.
std::optional<ZoneRegions>
ParseRegions(std::string_view aText, std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk
