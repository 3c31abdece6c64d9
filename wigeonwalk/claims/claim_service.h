// The request path's interface to claims: called before and after each
// non-idempotent call.
//
//   ClaimResult claim = co_await claims.Claim({ organisation, service, key,
//                                               createdAt, body });
//   if (claim.answer != ClaimAnswer::Granted) { ... answer claim.verdict ... }
//   ... send the call ...
//   claims.Finish(claim.grant, verdict, FirstAnswer{ status, type, body });
//   // or, if it is proven not to have run:
//   claims.Release(claim.grant, reason.code, progress);
#pragma once

#include "wigeonwalk/claims/claim_log.h"
#include "wigeonwalk/claims/first_answer_cache.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonwalk {

// A non-idempotent call that needs a claim.
struct ClaimedCall
{
  OrganisationId organisation;
  ServiceName service;
  std::string idempotencyKey;
  // From Idempotency-Key-Time: the creation time of the key, not of this call.
  // A key that is a version 7 UUID contains its own time, which takes
  // precedence.
  std::optional<TimePoint> keyCreatedAt;
  std::string_view body;
};

// The right to run one call once. It does not expire: however long its holder
// is paused before sending the first byte, no other call is granted the key.
struct GrantedClaim
{
  ClaimTicket ticket;
  BodyFingerprint body = 0;
};

// The answer to a claim.
struct ClaimResult
{
  ClaimAnswer answer = ClaimAnswer::Unavailable;
  // Returned to the caller if the answer is not Granted. For a duplicate, the
  // verdict is that of the earlier call.
  ReasonCode code = ReasonCode::Unavailable;
  Verdict verdict = Verdict::NotRun;
  // HTTP status of the first call's answer, or zero if unknown.
  std::uint16_t status = 0;
  // For a duplicate, the complete first answer if this daemon still has it.
  std::optional<FirstAnswer> firstAnswer;
  // Set on Granted.
  GrantedClaim grant;
  // How long the claim waited for the log, and how long it waits without any
  // answer from the key-value service before it gives up.
  Duration waited{ 0 };
  Duration limit{ 0 };
};

// Maximum size of the first answers that a daemon keeps.
inline constexpr std::size_t kFirstAnswerBytes = 8 * 1024 * 1024;

// Checks keys, claims them and keeps first answers. Not thread-safe.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec = ClaimTextCodec>
class ClaimService
{
public:
  ClaimService(ClaimLog<Kv, Time, Codec>& aLog,
               Time& aTimer,
               Duration aWindow = kClaimWindow)
    : log(aLog)
    , timer(aTimer)
    , window(aWindow)
    , answers(kFirstAnswerBytes)
  {
  }

  Task<ClaimResult> Claim(ClaimedCall aCall);

  // Releases the key after a failure that proves that the call did not run.
  // Returns false, and keeps the claim, if the failure does not prove it. The
  // holder must not send any byte upstream after a release.
  bool Release(const GrantedClaim& aClaim,
               ReasonCode aCode,
               RequestProgress aProgress);

  // Records the outcome of the call. `aVerdict` is Ran with the upstream's
  // answer, or MayHaveRun without one.
  void Finish(const GrantedClaim& aClaim,
              Verdict aVerdict,
              std::optional<FirstAnswer> aAnswer);

private:
  std::optional<ClaimAnswer> CheckCall(const ClaimedCall& aCall,
                                       TimePoint& aCreatedAt) const;
  ClaimResult ResultOf(const ClaimDecision& aDecision,
                       const ClaimKey& aKey,
                       BodyFingerprint aBody) const;

  ClaimLog<Kv, Time, Codec>& log;
  Time& timer;
  Duration window;
  FirstAnswerCache answers;
};

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
Task<ClaimResult>
ClaimService<Kv, Time, Codec>::Claim(ClaimedCall aCall)
{
  const ClaimKey key =
    ClaimKeyOf(aCall.organisation, aCall.service, aCall.idempotencyKey);
  const BodyFingerprint body = BodyFingerprintOf(aCall.body);
  TimePoint createdAt;
  if (const auto refused = this->CheckCall(aCall, createdAt)) {
    co_return this->ResultOf(MakeDecision(*refused), key, body);
  }
  if (this->answers.Find(key, body)) {
    ClaimDecision known = MakeDecision(ClaimAnswer::Duplicate);
    known.verdict = Verdict::Ran;
    co_return this->ResultOf(known, key, body);
  }
  const TimePoint start = this->timer.Now();
  const ClaimDecision decision =
    co_await this->log.Claim({ key, body, createdAt });
  ClaimResult result = this->ResultOf(decision, key, body);
  result.waited = this->timer.Now() - start;
  result.limit = this->log.Settings().claimTimeout;
  co_return result;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
bool
ClaimService<Kv, Time, Codec>::Release(const GrantedClaim& aClaim,
                                       ReasonCode aCode,
                                       RequestProgress aProgress)
{
  if (VerdictOf(aCode, aProgress) != Verdict::NotRun) {
    return false;
  }
  this->log.Release(aClaim.ticket);
  return true;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
void
ClaimService<Kv, Time, Codec>::Finish(const GrantedClaim& aClaim,
                                      Verdict aVerdict,
                                      std::optional<FirstAnswer> aAnswer)
{
  // NotRun may only be recorded through Release, which checks the proof.
  const Verdict verdict =
    aVerdict == Verdict::NotRun ? Verdict::MayHaveRun : aVerdict;
  const std::uint16_t status = aAnswer ? aAnswer->status : 0;
  if (verdict == Verdict::Ran && aAnswer) {
    this->answers.Add(aClaim.ticket.key, aClaim.body, std::move(*aAnswer));
  }
  this->log.Finish(aClaim.ticket, verdict, status);
}

// Returns the refusal of a call whose key is missing or outside the window, or
// nullopt if the key may be claimed.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
std::optional<ClaimAnswer>
ClaimService<Kv, Time, Codec>::CheckCall(const ClaimedCall& aCall,
                                         TimePoint& aCreatedAt) const
{
  const auto uuidTime = CreationTimeOfUuid(aCall.idempotencyKey);
  const auto createdAt = uuidTime ? uuidTime : aCall.keyCreatedAt;
  if (aCall.idempotencyKey.empty() || !createdAt) {
    return ClaimAnswer::MissingKey;
  }
  aCreatedAt = std::chrono::floor<std::chrono::seconds>(*createdAt);
  switch (CheckKeyAge(aCreatedAt, this->timer.Now(), this->window)) {
    case KeyAge::TooOld:
      return ClaimAnswer::KeyTooOld;
    case KeyAge::TooNew:
      return ClaimAnswer::KeyTooNew;
    case KeyAge::Valid:
      break;
  }
  return std::nullopt;
}

template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
ClaimResult
ClaimService<Kv, Time, Codec>::ResultOf(const ClaimDecision& aDecision,
                                        const ClaimKey& aKey,
                                        BodyFingerprint aBody) const
{
  ClaimResult result;
  result.answer = aDecision.answer;
  result.code = RuleOf(aDecision.answer).code;
  result.verdict = aDecision.verdict;
  result.status = aDecision.status;
  result.grant = { { aKey, aDecision.claim }, aBody };
  if (aDecision.answer != ClaimAnswer::Duplicate) {
    return result;
  }
  if (aDecision.verdict != Verdict::MayHaveRun) {
    result.code = ReasonCode::AlreadyExists;
  }
  if (const FirstAnswer* first = this->answers.Find(aKey, aBody)) {
    result.firstAnswer = *first;
    result.status = first->status;
    result.verdict = Verdict::Ran;
  }
  return result;
}

} // namespace wigeonwalk
