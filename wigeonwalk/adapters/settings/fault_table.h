// Table rows for tests that reject invalid settings and documents.
//
//   const Fault fault{ "unknown key", R"([{"op":"add",...}])", ... };
//   CHECK(ReportsFault(reasons, fault));
#pragma once

#include "wigeonwalk/base/failure_reason.h"

#include <string>
#include <vector>

namespace wigeonwalk {

// One change to a valid file and the error that it must cause.
struct Fault
{
  const char* name;
  // JSON patch operations (RFC 6902).
  const char* patch;
  ReasonCode code;
  const char* place;
  const char* detail;
};

inline bool
ReportsFault(const std::vector<FailureReason>& aReasons, const Fault& aFault)
{
  for (const auto& reason : aReasons) {
    if (reason.code == aFault.code && reason.place == aFault.place &&
        reason.detail.find(aFault.detail) != std::string::npos) {
      return true;
    }
  }
  return false;
}

inline std::string
PrintReasons(const std::vector<FailureReason>& aReasons)
{
  std::string text;
  for (const auto& reason : aReasons) {
    text += reason.ToString() + "\n";
  }
  return text;
}

inline constexpr auto kInvalid = ReasonCode::InvalidArgument;
inline constexpr auto kDuplicate = ReasonCode::AlreadyExists;

} // namespace wigeonwalk
