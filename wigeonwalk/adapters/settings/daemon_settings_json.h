// Parses the JSON settings of a daemon.
//
//   std::vector<FailureReason> reasons;
//   auto settings = ParseDaemonSettings(text, reasons);
//   if (!settings) {
//     for (const auto& reason : reasons) { std::cerr << reason.ToString(); }
//   }
//
// docs/settings.md lists every key with its type, unit, default and range.
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/serving/daemon_settings.h"

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Parses and validates a JSON text. On failure, returns nothing and adds every
// error with the path of its key. Port 0 is valid only for listeners, whose
// port the system may choose. Checks between keys run only once each key is
// valid by itself.
std::optional<DaemonSettings>
ParseDaemonSettings(std::string_view aText,
                    std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk
