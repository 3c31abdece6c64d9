// Answers to a claim, and what may truthfully be said with each.
//
//   const ClaimAnswerRule& rule = RuleOf(decision.answer);
//   error.verdict = rule.verdict;
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/last_reason.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/claims/claim.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// The answer to a claim. Every answer but Granted ends the call; no byte of it
// may go upstream.
enum class ClaimAnswer
{
  // The claim is durable and this call alone may run, however late it starts.
  Granted,
  // An earlier call holds the key with the same body.
  Duplicate,
  // An earlier call holds the key with another body or creation time.
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

// One row: the reason and the verdict that go to the caller with an answer.
struct ClaimAnswerRule
{
  ClaimAnswer answer;
  ReasonCode code;
  Verdict verdict;
};

// The verdicts speak of the call that is answered. NotRun holds for this call
// because it never goes upstream; it says nothing about an earlier call with
// the same key, so a caller repeats a call with the same key and never with a
// new one. Duplicate stands for the earlier call: MayHaveRun until its outcome
// is known. KeyTooOld stands for the earlier call as well: its claim may be
// forgotten, so nobody can say any more that it did not run.
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

// A claim's answer with what the log knows of the key.
struct ClaimDecision
{
  ClaimAnswer answer = ClaimAnswer::Unavailable;
  // The claim that holds the key, on Granted and Duplicate.
  ClaimRef claim;
  Verdict verdict = Verdict::NotRun;
  // HTTP status of the first answer, zero where not known.
  std::uint16_t status = 0;
};

// Returns a decision with its rule's verdict.
constexpr ClaimDecision
Decided(ClaimAnswer aAnswer, ClaimRef aClaim = {})
{
  return { aAnswer, aClaim, RuleOf(aAnswer).verdict, 0 };
}

} // namespace wigeonwalk
