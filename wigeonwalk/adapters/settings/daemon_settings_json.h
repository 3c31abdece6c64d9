// The daemon's settings as JSON.
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

// Returns the settings of a JSON text, or nothing and every error with the path
// of its key. Addresses have port 0 only where a listener may choose its port.
// Cross checks run once each key is valid by itself.
std::optional<DaemonSettings>
ParseDaemonSettings(std::string_view aText,
                    std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk
