// Verdict rules: whether a request may have run, for each kind of failure.
//
//   if (!response) {
//     error.verdict = VerdictOf(reason.code);
//   }
//   if (MayRetry(reason.code, progress, route.idempotent)) { ... }
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/verdict.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// How much of a request was sent when the failure was detected.
enum class RequestProgress
{
  // No byte was written to an upstream connection.
  NothingSent,
  // At least one byte was written, or it is unknown whether any was.
  ByteSent,
};

template<>
struct EnumNames<RequestProgress>
{
  static constexpr std::array<EnumName<RequestProgress>, 2> kTable{ {
    { RequestProgress::NothingSent, "nothing-sent" },
    { RequestProgress::ByteSent, "byte-sent" },
  } };
};
static_assert(HasCompleteTable<RequestProgress>());

// The verdict on a request that failed with a code.
struct VerdictRule
{
  ReasonCode code;
  Verdict verdict;
};

// The codes that determine whether a request may have run. A partial write
// counts as MayHaveRun, because an upstream may act on a request before it has
// received all of it. A client error says that the request is wrong, not that
// nothing was done, so only an explicit refusal before the run
// (RefusedBeforeRun) counts as NotRun. ClaimUnknown is returned to a duplicate
// of a call whose outcome is unknown; a claim that could not be made durable
// fails with Unavailable before any byte is sent.
inline constexpr std::array<VerdictRule, 13> kVerdictRules{ {
  { ReasonCode::ConnectRefused, Verdict::NotRun },
  { ReasonCode::ConnectTimeout, Verdict::NotRun },
  { ReasonCode::WriteFailedPartWay, Verdict::MayHaveRun },
  { ReasonCode::ConnectionLostAfterWrite, Verdict::MayHaveRun },
  { ReasonCode::ResponseTimeout, Verdict::MayHaveRun },
  { ReasonCode::SilentConnection, Verdict::MayHaveRun },
  { ReasonCode::StatusClientError, Verdict::MayHaveRun },
  { ReasonCode::StatusServerError, Verdict::MayHaveRun },
  { ReasonCode::RefusedBeforeRun, Verdict::NotRun },
  { ReasonCode::MalformedResponse, Verdict::MayHaveRun },
  { ReasonCode::Cancelled, Verdict::MayHaveRun },
  { ReasonCode::DaemonStopping, Verdict::MayHaveRun },
  { ReasonCode::ClaimUnknown, Verdict::MayHaveRun },
} };

// Returns true if the table lists every code from ConnectRefused to
// ClaimUnknown in order.
constexpr bool
HasCompleteVerdictRules()
{
  auto expected = static_cast<std::size_t>(ReasonCode::ConnectRefused);
  for (const VerdictRule& rule : kVerdictRules) {
    if (static_cast<std::size_t>(rule.code) != expected++) {
      return false;
    }
  }
  return expected == static_cast<std::size_t>(ReasonCode::ClaimUnknown) + 1;
}
static_assert(HasCompleteVerdictRules());

// Returns the verdict on a request that failed with a code. A code outside the
// table does not tell whether the request ran, and yields MayHaveRun.
constexpr Verdict
VerdictOf(ReasonCode aCode)
{
  for (const VerdictRule& rule : kVerdictRules) {
    if (rule.code == aCode) {
      return rule.verdict;
    }
  }
  return Verdict::MayHaveRun;
}

// As above, if the progress is known. NothingSent yields NotRun for every code
// except ClaimUnknown, which is about an earlier call with the same key.
constexpr Verdict
VerdictOf(ReasonCode aCode, RequestProgress aProgress)
{
  if (aProgress == RequestProgress::NothingSent &&
      aCode != ReasonCode::ClaimUnknown) {
    return Verdict::NotRun;
  }
  return VerdictOf(aCode);
}

// Returns true if another attempt can have another result, which is not so if
// the failure is the upstream's answer to the request itself.
constexpr bool
IsTransient(ReasonCode aCode)
{
  switch (aCode) {
    case ReasonCode::ConnectRefused:
    case ReasonCode::ConnectTimeout:
    case ReasonCode::WriteFailedPartWay:
    case ReasonCode::ConnectionLostAfterWrite:
    case ReasonCode::ResponseTimeout:
    case ReasonCode::SilentConnection:
    case ReasonCode::StatusServerError:
    case ReasonCode::RefusedBeforeRun:
    case ReasonCode::MalformedResponse:
      return true;
    default:
      return false;
  }
}

// Returns true if another attempt after this failure is safe and can help.
// Retry budget, backoff and deadline may still prevent it.
constexpr bool
MayRetry(ReasonCode aCode, RequestProgress aProgress, bool aIdempotent)
{
  return IsTransient(aCode) &&
         MayRepeat(VerdictOf(aCode, aProgress), aIdempotent);
}

// Maps an upstream's HTTP status to a reason; None for a success.
// `aRefusedBeforeRun` is true if the response states that the upstream refused
// the request before running it; it only counts for 429 and 503.
constexpr ReasonCode
ReasonOfStatus(std::uint32_t aStatus, bool aRefusedBeforeRun)
{
  constexpr std::uint32_t kTooManyRequests = 429;
  constexpr std::uint32_t kServiceUnavailable = 503;
  if (aStatus >= 200 && aStatus < 300) {
    return ReasonCode::None;
  }
  if (aRefusedBeforeRun &&
      (aStatus == kTooManyRequests || aStatus == kServiceUnavailable)) {
    return ReasonCode::RefusedBeforeRun;
  }
  if (aStatus >= 400 && aStatus < 500) {
    return ReasonCode::StatusClientError;
  }
  if (aStatus >= 500 && aStatus < 600) {
    return ReasonCode::StatusServerError;
  }
  return ReasonCode::MalformedResponse;
}

} // namespace wigeonwalk
