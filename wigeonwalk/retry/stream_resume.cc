#include "wigeonwalk/retry/stream_resume.h"

#include <utility>

namespace wigeonwalk {

namespace {

// Adds a token to the hash of the tokens before it. The token index is hashed
// too, so that the same text split into other tokens does not match.
Hash128
ChainHash(const Hash128& aBefore, const AnswerChunk& aChunk)
{
  const Hash128 token = HashBytes(aChunk.text, aBefore.low + aChunk.index);
  return { token.high ^ aBefore.high, token.low };
}

} // namespace

bool
IsDeterministic(const EngineRequest& aRequest)
{
  return aRequest.temperature == 0 || aRequest.seed.has_value();
}

StreamResume::StreamResume(AttemptId aAttempt, bool aDeterministic)
  : attempt(std::move(aAttempt))
  , deterministic(aDeterministic)
{
}

ChunkDecision
StreamResume::Offer(const AnswerChunk& aChunk)
{
  if (aChunk.attempt != this->attempt) {
    return this->Drop(ChunkDecision::DropForeign);
  }
  if (this->complete) {
    return this->Drop(ChunkDecision::DropAfterEnd);
  }
  if (this->checked < this->delivered) {
    return this->CheckRerun(aChunk);
  }
  if (aChunk.index < this->delivered) {
    return this->Drop(ChunkDecision::DropDuplicate);
  }
  if (aChunk.index > this->delivered) {
    return this->Drop(ChunkDecision::DropAhead);
  }
  this->deliveredHash = ChainHash(this->deliveredHash, aChunk);
  this->checkedHash = this->deliveredHash;
  ++this->delivered;
  this->checked = this->delivered;
  this->complete = aChunk.IsLast();
  return ChunkDecision::Deliver;
}

ChunkDecision
StreamResume::CheckRerun(const AnswerChunk& aChunk)
{
  if (aChunk.index < this->checked) {
    return this->Drop(ChunkDecision::DropDuplicate);
  }
  if (aChunk.index > this->checked) {
    return this->Drop(ChunkDecision::DropAhead);
  }
  // A rerun that ends within the delivered prefix differs from the first run.
  if (aChunk.IsLast()) {
    return ChunkDecision::PrefixDiffers;
  }
  this->checkedHash = ChainHash(this->checkedHash, aChunk);
  ++this->checked;
  if (this->checked == this->delivered &&
      this->checkedHash != this->deliveredHash) {
    return ChunkDecision::PrefixDiffers;
  }
  return ChunkDecision::SkipChecked;
}

ResumePlan
StreamResume::PlanAfterBreak(bool aEngineKeepsGeneration) const
{
  if (this->complete) {
    return ResumePlan::Finished;
  }
  if (this->delivered == 0) {
    return ResumePlan::Rerun;
  }
  if (aEngineKeepsGeneration) {
    return ResumePlan::ResumeAtNextToken;
  }
  return this->deterministic ? ResumePlan::Rerun : ResumePlan::Fail;
}

void
StreamResume::StartResumed(AttemptId aAttempt)
{
  this->attempt = std::move(aAttempt);
  this->checked = this->delivered;
  this->checkedHash = this->deliveredHash;
}

void
StreamResume::StartRerun(AttemptId aAttempt)
{
  this->attempt = std::move(aAttempt);
  this->checked = 0;
  this->checkedHash = {};
}

Verdict
StreamResume::VerdictOnFailure(ReasonCode aCode) const
{
  return this->delivered > 0 ? Verdict::Ran : VerdictOf(aCode);
}

ChunkDecision
StreamResume::Drop(ChunkDecision aDecision)
{
  ++this->dropped;
  return aDecision;
}

} // namespace wigeonwalk
