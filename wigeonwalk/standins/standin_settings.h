// Settings of the stand-ins program, as JSON: the stand-ins to run.
//
//   { "engines": [ { "id": "r1", "address": "127.0.0.1:9001" } ],
//     "plainServices": [ { "address": "127.0.0.1:9100" } ] }
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/standins/engine_model.h"
#include "wigeonwalk/standins/store_standin.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// The stand-ins that one process runs.
struct StandinSettings
{
  std::vector<EngineStandinSettings> engines;
  std::vector<std::string> plainServices;
  std::vector<StoreStandinSettings> stores;
  std::string keyValue;
  std::string hostList;
};

// Returns the settings, or nothing with the reason if the JSON is malformed, a
// required field is missing or a field has the wrong type.
std::optional<StandinSettings>
ParseStandinSettings(std::string_view aText, FailureReason& aReason);

} // namespace wigeonwalk
