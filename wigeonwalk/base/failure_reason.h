// Error reporting: why an operation failed.
//
// A function that can fail returns std::optional and takes a FailureReason as
// its last argument. It sets the reason on failure and doesn't change it on
// success.
//
//   FailureReason reason;
//   auto settings = ParseSettings(text, reason);
//   if (!settings) {
//     std::cerr << reason.ToString() << '\n';
//   }
#pragma once

#include "wigeonwalk/base/enum_names.h"

#include <optional>
#include <string>

namespace wigeonwalk {

// Error codes. The values from ConnectRefused to ClaimUnknown tell how far a
// request got; retry/verdict_rules.h maps each of them to a verdict.
enum class ReasonCode
{
  None,
  InvalidArgument,
  UnknownKey,
  NotFound,
  AlreadyExists,
  Conflict,
  Unauthorized,
  TooLarge,
  Expired,
  Overloaded,
  Unavailable,
  Corrupt,
  Stale,
  Isolated,
  Poisoned,
  ConnectRefused,
  ConnectTimeout,
  WriteFailedPartWay,
  ConnectionLostAfterWrite,
  ResponseTimeout,
  SilentConnection,
  StatusClientError,
  StatusServerError,
  RefusedBeforeRun,
  MalformedResponse,
  Cancelled,
  DaemonStopping,
  ClaimUnknown,
  // A fault of this program, such as an exception that nothing expects.
  Internal,
};

template<>
struct EnumNames<ReasonCode>
{
  static constexpr std::array<EnumName<ReasonCode>, 29> kTable{ {
    { ReasonCode::None, "none" },
    { ReasonCode::InvalidArgument, "invalid-argument" },
    { ReasonCode::UnknownKey, "unknown-key" },
    { ReasonCode::NotFound, "not-found" },
    { ReasonCode::AlreadyExists, "already-exists" },
    { ReasonCode::Conflict, "conflict" },
    { ReasonCode::Unauthorized, "unauthorized" },
    { ReasonCode::TooLarge, "too-large" },
    { ReasonCode::Expired, "expired" },
    { ReasonCode::Overloaded, "overloaded" },
    { ReasonCode::Unavailable, "unavailable" },
    { ReasonCode::Corrupt, "corrupt" },
    { ReasonCode::Stale, "stale" },
    { ReasonCode::Isolated, "isolated" },
    { ReasonCode::Poisoned, "poisoned" },
    { ReasonCode::ConnectRefused, "connect-refused" },
    { ReasonCode::ConnectTimeout, "connect-timeout" },
    { ReasonCode::WriteFailedPartWay, "write-failed-part-way" },
    { ReasonCode::ConnectionLostAfterWrite, "connection-lost-after-write" },
    { ReasonCode::ResponseTimeout, "response-timeout" },
    { ReasonCode::SilentConnection, "silent-connection" },
    { ReasonCode::StatusClientError, "status-client-error" },
    { ReasonCode::StatusServerError, "status-server-error" },
    { ReasonCode::RefusedBeforeRun, "refused-before-run" },
    { ReasonCode::MalformedResponse, "malformed-response" },
    { ReasonCode::Cancelled, "cancelled" },
    { ReasonCode::DaemonStopping, "daemon-stopping" },
    { ReasonCode::ClaimUnknown, "claim-unknown" },
    { ReasonCode::Internal, "internal" },
  } };
};
static_assert(HasCompleteTable<ReasonCode>());

// Why the last operation failed: a code, a human-readable message, and the
// location of the error, such as the path of a key in a document
// ("/runners/2/zone").
struct FailureReason
{
  ReasonCode code = ReasonCode::None;
  std::string detail;
  std::string place;

  // Returns "code at place: detail", leaving out what is empty.
  std::string ToString() const;
};

// Sets the reason and returns nullopt, so that a caller can write
// `return Fail(aReason, ReasonCode::NotFound, "no such service");`.
std::nullopt_t
Fail(FailureReason& aReason,
     ReasonCode aCode,
     std::string aDetail,
     std::string aPlace = {});

} // namespace wigeonwalk
