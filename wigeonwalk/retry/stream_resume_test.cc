#include "wigeonwalk/retry/stream_resume.h"

#include <catch2/catch.hpp>

#include <string>

using namespace wigeonwalk;

namespace {

const AttemptId kFirst{ HostId("isar-1"), 1, 4, 10 };
const AttemptId kSecond{ HostId("isar-1"), 1, 5, 11 };
constexpr std::string_view kWords[] = { "lace ", "for ", "the ", "veil" };

AnswerChunk
Chunk(const AttemptId& aAttempt, std::uint32_t aIndex)
{
  AnswerChunk chunk{ aAttempt, aIndex, std::string(kWords[aIndex]), "" };
  chunk.finishReason = aIndex == 3 ? "stop" : "";
  return chunk;
}

// Offers tokens [aFrom, aTo) and returns the text to deliver to the caller.
std::string
Offer(StreamResume& aStream,
      const AttemptId& aAttempt,
      std::uint32_t aFrom,
      std::uint32_t aTo)
{
  std::string text;
  for (std::uint32_t i = aFrom; i < aTo; ++i) {
    const AnswerChunk chunk = Chunk(aAttempt, i);
    if (aStream.Offer(chunk) == ChunkDecision::Deliver) {
      text += chunk.text;
    }
  }
  return text;
}

struct DropCase
{
  const char* story;
  AttemptId attempt;
  std::uint32_t index;
  ChunkDecision decision;
};

const DropCase kDrops[] = {
  { "an earlier token again", kFirst, 1, ChunkDecision::DropDuplicate },
  { "a token after a gap", kFirst, 3, ChunkDecision::DropAhead },
  { "the next token of another attempt",
    kSecond,
    2,
    ChunkDecision::DropForeign },
};

} // namespace

// Guards I4: after a resume, a caller gets text twice, out of order, with a gap
// or from another request.
SCENARIO("the caller gets one answer without gaps", "[resume]")
{
  GIVEN("a stream that delivered two of four tokens")
  {
    StreamResume stream(kFirst, true);
    std::string text = Offer(stream, kFirst, 0, 2);
    REQUIRE(stream.NextIndex() == 2);

    for (const DropCase& drop : kDrops) {
      WHEN(std::string("it receives ") + drop.story)
      {
        CHECK(stream.Offer(Chunk(drop.attempt, drop.index)) == drop.decision);
        THEN("that is dropped and counted, and the next token is delivered")
        {
          CHECK(stream.Dropped() == 1);
          text += Offer(stream, kFirst, 2, 4);
          CHECK(text == "lace for the veil");
          CHECK(stream.Complete());
        }
      }
    }
    WHEN("it breaks and the engine kept the generation")
    {
      REQUIRE(stream.PlanAfterBreak(true) == ResumePlan::ResumeAtNextToken);
      stream.StartResumed(kSecond);
      THEN("it continues at the next token and drops tokens of the old attempt")
      {
        CHECK(stream.Offer(Chunk(kFirst, 2)) == ChunkDecision::DropForeign);
        text += Offer(stream, kSecond, 2, 4);
        CHECK(text == "lace for the veil");
        CHECK(stream.Offer(Chunk(kSecond, 3)) == ChunkDecision::DropAfterEnd);
        CHECK(stream.PlanAfterBreak(true) == ResumePlan::Finished);
      }
    }
    WHEN("it breaks and is run again on another engine")
    {
      REQUIRE(stream.PlanAfterBreak(false) == ResumePlan::Rerun);
      stream.StartRerun(kSecond);
      THEN("the delivered prefix is checked and skipped")
      {
        text += Offer(stream, kSecond, 0, 4);
        CHECK(text == "lace for the veil");
      }
      THEN("a rerun that breaks within the prefix can be run again")
      {
        CHECK(Offer(stream, kSecond, 0, 1).empty());
        stream.StartRerun(kFirst);
        text += Offer(stream, kFirst, 0, 4);
        CHECK(text == "lace for the veil");
      }
      THEN("a prefix that differs is an error before more text is delivered")
      {
        AnswerChunk other = Chunk(kSecond, 0);
        other.text = "silk ";
        CHECK(stream.Offer(other) == ChunkDecision::SkipChecked);
        CHECK(stream.Offer(Chunk(kSecond, 1)) == ChunkDecision::PrefixDiffers);
      }
      THEN("an answer that ends within the prefix is an error too")
      {
        AnswerChunk other = Chunk(kSecond, 0);
        other.finishReason = "length";
        CHECK(stream.Offer(other) == ChunkDecision::PrefixDiffers);
      }
    }
  }
  GIVEN("a sampled answer that broke after a token")
  {
    StreamResume stream(kFirst, false);
    Offer(stream, kFirst, 0, 1);
    THEN("it fails without its engine, and its verdict is that it ran")
    {
      CHECK(stream.PlanAfterBreak(false) == ResumePlan::Fail);
      CHECK(stream.VerdictOnFailure(ReasonCode::ConnectRefused) ==
            Verdict::Ran);
    }
  }
  GIVEN("a stream without any token")
  {
    StreamResume stream(kFirst, false);
    THEN("it may be run again, and its verdict is that of the failure")
    {
      CHECK(stream.PlanAfterBreak(false) == ResumePlan::Rerun);
      CHECK(stream.VerdictOnFailure(ReasonCode::ConnectRefused) ==
            Verdict::NotRun);
    }
  }
}

// Guards against rerunning a sampled request, whose tokens would differ.
TEST_CASE("greedy or seeded requests are deterministic", "[resume]")
{
  EngineRequest request;
  CHECK_FALSE(IsDeterministic(request));
  request.seed = 4;
  CHECK(IsDeterministic(request));
  request.seed.reset();
  request.temperature = 0;
  CHECK(IsDeterministic(request));
}
