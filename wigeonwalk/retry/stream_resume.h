// Resuming a broken stream so that the caller sees one gapless answer.
//
//   StreamResume stream(attempt, IsDeterministic(request));
//   switch (stream.Offer(chunk)) {
//     case ChunkDecision::Deliver: co_await caller.Send(chunk.text); break;
//     ...
//   }
//   // The connection broke:
//   switch (stream.PlanAfterBreak(engineKeepsGeneration)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <cstdint>

namespace wigeonwalk {

// What to do with a chunk.
enum class ChunkDecision
{
  // It is the next token; send it to the caller.
  Deliver,
  // It carries another attempt's identity; drop it and count it.
  DropForeign,
  // It was already delivered; drop it and count it.
  DropDuplicate,
  // A token before it is missing; drop it and break this attempt.
  DropAhead,
  // The stream had already ended; drop it and count it.
  DropAfterEnd,
  // It repeats a delivered token in a rerun; it was checked and is skipped.
  SkipChecked,
  // The rerun's prefix differs from what was delivered; end with an error.
  PrefixDiffers,
};

template<>
struct EnumNames<ChunkDecision>
{
  static constexpr std::array<EnumName<ChunkDecision>, 7> kTable{ {
    { ChunkDecision::Deliver, "deliver" },
    { ChunkDecision::DropForeign, "drop-foreign" },
    { ChunkDecision::DropDuplicate, "drop-duplicate" },
    { ChunkDecision::DropAhead, "drop-ahead" },
    { ChunkDecision::DropAfterEnd, "drop-after-end" },
    { ChunkDecision::SkipChecked, "skip-checked" },
    { ChunkDecision::PrefixDiffers, "prefix-differs" },
  } };
};
static_assert(HasCompleteTable<ChunkDecision>());

// How an unfinished stream goes on.
enum class ResumePlan
{
  // Open with resumeAt = NextIndex() and resumes = the broken attempt.
  ResumeAtNextToken,
  // Open from the start; nothing was delivered, or the prefix is checked.
  Rerun,
  // Give the caller an error: going on could change delivered text.
  Fail,
  // The answer was complete; nothing is left to do.
  Finished,
};

template<>
struct EnumNames<ResumePlan>
{
  static constexpr std::array<EnumName<ResumePlan>, 4> kTable{ {
    { ResumePlan::ResumeAtNextToken, "resume-at-next-token" },
    { ResumePlan::Rerun, "rerun" },
    { ResumePlan::Fail, "fail" },
    { ResumePlan::Finished, "finished" },
  } };
};
static_assert(HasCompleteTable<ResumePlan>());

// Returns true where a second run yields the same tokens: greedy choice, or a
// fixed seed. The weight version must be the same as well.
bool
IsDeterministic(const EngineRequest& aRequest);

// Follows one answer over all attempts. Keeps a chained hash of the delivered
// tokens instead of their text. One thread only.
class StreamResume
{
public:
  StreamResume(AttemptId aAttempt, bool aDeterministic);

  // Decides on a chunk and, where it is the next token, counts it.
  ChunkDecision Offer(const AnswerChunk& aChunk);

  // Returns how to go on after the attempt broke. `aEngineKeepsGeneration` is
  // true where the engine that ran it is reachable and can resume it.
  ResumePlan PlanAfterBreak(bool aEngineKeepsGeneration) const;

  // Goes on with another attempt; later chunks of the earlier one are foreign.
  void StartResumed(AttemptId aAttempt);
  void StartRerun(AttemptId aAttempt);

  // Returns the verdict on a stream that ends with an error: a delivered token
  // proves that the request ran, though its answer is not complete.
  Verdict VerdictOnFailure(ReasonCode aCode) const;

  // Index of the next token that the caller has not got.
  std::uint32_t NextIndex() const { return this->delivered; }
  bool Complete() const { return this->complete; }
  // Chunks that were dropped for any reason.
  std::uint64_t Dropped() const { return this->dropped; }
  const AttemptId& Attempt() const { return this->attempt; }

private:
  ChunkDecision Drop(ChunkDecision aDecision);
  ChunkDecision Check(const AnswerChunk& aChunk);

  AttemptId attempt;
  bool deterministic;
  std::uint32_t delivered = 0;
  bool complete = false;
  std::uint64_t dropped = 0;
  Hash128 deliveredHash;
  // Progress of a rerun through the delivered prefix.
  std::uint32_t checked = 0;
  Hash128 checkedHash;
};

} // namespace wigeonwalk
