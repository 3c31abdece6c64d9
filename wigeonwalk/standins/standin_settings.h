// Settings of the stand-ins program: which stand-ins to run, as JSON.
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

// What one stand-ins process runs.
struct StandinSettings
{
  std::vector<EngineStandinSettings> engines;
  std::vector<std::string> plainServices;
  std::vector<StoreStandinSettings> stores;
  std::string keyValue;
  std::string hostList;
};

// Returns the checked settings, or nothing with the path of the first fault.
std::optional<StandinSettings>
ParseStandinSettings(std::string_view aText, FailureReason& aReason);

} // namespace wigeonwalk
