// Resumes a broken stream so that the caller gets one answer without gaps or
// duplicates.
//
//   StreamResume stream(attempt, IsDeterministic(request));
//   switch (stream.Offer(chunk)) {
//     case ChunkDecision::Deliver: co_await caller.Send(chunk.text); break;
//     ...
//   }
//   // After the connection broke:
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
  // It belongs to another attempt; drop and count it.
  DropForeign,
  // It was already delivered; drop and count it.
  DropDuplicate,
  // A token before it is missing; drop it and abort this attempt.
  DropAhead,
  // The answer was already complete; drop and count it.
  DropAfterEnd,
  // A rerun repeats a delivered token; it was added to the prefix check and is
  // not sent again.
  SkipChecked,
  // The rerun's prefix differs from the delivered tokens; end the stream with
  // an error.
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

// How to continue after an attempt broke.
enum class ResumePlan
{
  // Open a stream with resumeAt = NextIndex() and resumes = the broken attempt.
  ResumeAtNextToken,
  // Run the request again from the start: nothing was delivered, or the rerun
  // is deterministic and is checked against the delivered prefix.
  Rerun,
  // Return an error to the caller: a rerun could contradict delivered text.
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

// Returns true if a second run on the same weight version yields the same
// tokens: greedy decoding, or a fixed seed.
bool
IsDeterministic(const EngineRequest& aRequest);

// Tracks one answer across all its attempts. Keeps a chained hash of the
// delivered tokens instead of their text. Not thread-safe.
class StreamResume
{
public:
  StreamResume(AttemptId aAttempt, bool aDeterministic);

  // Decides what to do with a chunk, and advances NextIndex() on Deliver.
  ChunkDecision Offer(const AnswerChunk& aChunk);

  // Returns how to continue after the attempt broke. `aEngineKeepsGeneration`
  // is true if the engine that ran it is reachable and can resume the
  // generation.
  ResumePlan PlanAfterBreak(bool aEngineKeepsGeneration) const;

  // Switch to another attempt; chunks of the earlier one that arrive later are
  // dropped as DropForeign.
  void StartResumed(AttemptId aAttempt);
  void StartRerun(AttemptId aAttempt);

  // Returns the verdict on a stream that ends with an error. A delivered token
  // proves that the request ran, even though its answer is incomplete.
  Verdict VerdictOnFailure(ReasonCode aCode) const;

  // Index of the first token that was not yet delivered to the caller.
  std::uint32_t NextIndex() const { return this->delivered; }
  bool Complete() const { return this->complete; }
  // Number of chunks dropped for any reason.
  std::uint64_t Dropped() const { return this->dropped; }
  const AttemptId& Attempt() const { return this->attempt; }

private:
  ChunkDecision Drop(ChunkDecision aDecision);
  ChunkDecision CheckRerun(const AnswerChunk& aChunk);

  AttemptId attempt;
  bool deterministic;
  std::uint32_t delivered = 0;
  bool complete = false;
  std::uint64_t dropped = 0;
  Hash128 deliveredHash;
  // Tokens of a rerun that were checked against the delivered prefix, and their
  // chained hash.
  std::uint32_t checked = 0;
  Hash128 checkedHash;
};

} // namespace wigeonwalk
