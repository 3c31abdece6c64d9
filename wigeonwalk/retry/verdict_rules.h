// Verdict rules: what may be said of a request after each kind of failure.
//
//   if (!response) {
//     error.verdict = VerdictOf(reason.code);
//   }
//   if (MayRetry(reason.code, progress, route.idempotent)) { ... }
#pragma once

#include "wigeonwalk/base/last_reason.h"
#include "wigeonwalk/base/verdict.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// How far a request had got when the failure was noticed.
enum class RequestProgress
{
  // No byte of it was handed to an upstream connection.
  NothingSent,
  // At least one byte was, or that is not known.
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

// One row: a code and the verdict on a request that failed with it.
struct VerdictRule
{
  ReasonCode code;
  Verdict verdict;
};

// The codes that say how far a request got. A partial write counts as
// MayHaveRun, because an upstream may act on a request before its end.
// A client error states that the request is wrong and not that nothing was
// done, so only an explicit refusal before the run (RefusedBeforeRun) counts as
// NotRun. ClaimUnknown stands for a duplicate of a call whose outcome is not
// known; a claim that could not be made durable fails with Unavailable before
// any byte is sent.
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

// True where the table lists every code from ConnectRefused to ClaimUnknown in
// order.
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
// table says nothing about how far the request got; it yields MayHaveRun.
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

// As above where the progress is known. NothingSent turns every code into
// NotRun except ClaimUnknown, which speaks of an earlier call with the same
// key.
constexpr Verdict
VerdictOf(ReasonCode aCode, RequestProgress aProgress)
{
  if (aProgress == RequestProgress::NothingSent &&
      aCode != ReasonCode::ClaimUnknown) {
    return Verdict::NotRun;
  }
  return VerdictOf(aCode);
}

// Returns true where another attempt can change the result: the failure is not
// the upstream's considered answer to the request itself.
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

// Returns true where a failed attempt may be followed by another one, as far as
// correctness goes; budget, backoff and deadline decide whether it is.
constexpr bool
MayRetry(ReasonCode aCode, RequestProgress aProgress, bool aIdempotent)
{
  return IsTransient(aCode) &&
         MayRepeat(VerdictOf(aCode, aProgress), aIdempotent);
}

// Returns the reason that an upstream's HTTP status stands for, None for a
// success. `aRefusedBeforeRun` is true where the response itself says that the
// upstream refused the request before running it; only 429 and 503 can.
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
