// Answers to a claim, and the error code and verdict that each one justifies.
//
//   const ClaimAnswerRule& rule = RuleOf(decision.answer);
//   error.verdict = rule.verdict;
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/claims/claim.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// The answer to a claim. Any answer other than Granted ends the call without
// sending a byte upstream.
enum class ClaimAnswer
{
  // The claim is durable. Only this call may run, however late it starts.
  Granted,
  // An earlier call holds the key with the same body.
  Duplicate,
  // An earlier call holds the key with a different body or creation time.
  OtherBody,
  MissingKey,
  KeyTooOld,
  KeyTooNew,
  // The claim could not be made durable in time and was withdrawn.
  Unavailable,
};

template<>
struct EnumNames<ClaimAnswer>
{
  static constexpr std::array<EnumName<ClaimAnswer>, 7> kTable{ {
    { ClaimAnswer::Granted, "granted" },
    { ClaimAnswer::Duplicate, "duplicate" },
    { ClaimAnswer::OtherBody, "other-body" },
    { ClaimAnswer::MissingKey, "missing-key" },
    { ClaimAnswer::KeyTooOld, "key-too-old" },
    { ClaimAnswer::KeyTooNew, "key-too-new" },
    { ClaimAnswer::Unavailable, "unavailable" },
  } };
};
static_assert(HasCompleteTable<ClaimAnswer>());

// The reason code and the verdict that are returned to the caller with an
// answer.
struct ClaimAnswerRule
{
  ClaimAnswer answer;
  ReasonCode code;
  Verdict verdict;
};

// NotRun refers to the call being answered, which never goes upstream. It says
// nothing about an earlier call with the same key, so a caller must retry with
// the same key and never with a new one. The verdicts for Duplicate and
// KeyTooOld refer to the earlier call: a duplicate is MayHaveRun until the
// outcome of the earlier call is known, and the claim of a key that is too old
// may be forgotten already, so it cannot be shown that its call did not run.
inline constexpr std::array<ClaimAnswerRule, 7> kClaimAnswerRules{ {
  { ClaimAnswer::Granted, ReasonCode::None, Verdict::NotRun },
  { ClaimAnswer::Duplicate, ReasonCode::ClaimUnknown, Verdict::MayHaveRun },
  { ClaimAnswer::OtherBody, ReasonCode::Conflict, Verdict::NotRun },
  { ClaimAnswer::MissingKey, ReasonCode::InvalidArgument, Verdict::NotRun },
  { ClaimAnswer::KeyTooOld, ReasonCode::Expired, Verdict::MayHaveRun },
  { ClaimAnswer::KeyTooNew, ReasonCode::InvalidArgument, Verdict::NotRun },
  { ClaimAnswer::Unavailable, ReasonCode::Unavailable, Verdict::NotRun },
} };

constexpr const ClaimAnswerRule&
RuleOf(ClaimAnswer aAnswer)
{
  return kClaimAnswerRules[static_cast<std::size_t>(aAnswer)];
}

// A claim's answer with what the log records about the key.
struct ClaimDecision
{
  ClaimAnswer answer = ClaimAnswer::Unavailable;
  // The claim that holds the key, on Granted and Duplicate.
  ClaimRef claim;
  Verdict verdict = Verdict::NotRun;
  // HTTP status of the first answer, or zero if unknown.
  std::uint16_t status = 0;
};

// Returns a decision with the verdict of the answer's rule.
constexpr ClaimDecision
MakeDecision(ClaimAnswer aAnswer, ClaimRef aClaim = {})
{
  return { aAnswer, aClaim, RuleOf(aAnswer).verdict, 0 };
}

} // namespace wigeonwalk
