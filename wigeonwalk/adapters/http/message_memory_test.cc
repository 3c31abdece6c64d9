#include "wigeonwalk/adapters/http/message_memory.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace wigeonwalk;

namespace {

constexpr std::size_t kLimit = MessageMemory::kMaxBytes;
constexpr std::size_t kOrdinary = MessageMemory::kOrdinaryBytes;
constexpr TimePoint kNow(std::chrono::seconds(100));

// Answers that are being received, and how many were ended in favour of others.
struct Answers
{
  MessageMemory::Share& Add(std::size_t aBytes)
  {
    this->shares.push_back(std::make_unique<MessageMemory::Share>(
      this->memory, [this] { ++this->ended; }));
    CHECK(this->shares.back()->Resize(aBytes, kNow));
    return *this->shares.back();
  }

  MessageMemory memory;
  std::vector<std::unique_ptr<MessageMemory::Share>> shares;
  int ended = 0;
};

} // namespace

// Guards against answers of several faulty peers that together use up the
// memory, and against an end of other answers in their place.
SCENARIO("the largest answer ends when all together are too large")
{
  Answers answers;
  MessageMemory::Share& large = answers.Add(kLimit / 2);
  MessageMemory::Share& medium = answers.Add(kLimit / 4);
  MessageMemory::Share& ordinary = answers.Add(kOrdinary);
  CHECK(answers.memory.Bytes() == kLimit / 2 + kLimit / 4 + kOrdinary);

  WHEN("the largest one grows beyond the limit")
  {
    CHECK_FALSE(large.Resize(kLimit, kNow));
    THEN("it ends, and its memory counts no longer")
    {
      CHECK(answers.ended == 0);
      CHECK(large.IsEnded());
      CHECK(answers.memory.Bytes() == kLimit / 4 + kOrdinary);
      CHECK(medium.Resize(kLimit - kOrdinary, kNow));
    }
  }

  WHEN("another one grows beyond the limit")
  {
    CHECK(medium.Resize(kLimit / 2 - kOrdinary, kNow));
    CHECK(ordinary.Resize(kOrdinary + 1, kNow));
    THEN("the largest one ends in its place")
    {
      CHECK(answers.ended == 1);
      CHECK(large.IsEnded());
      CHECK_FALSE(medium.IsEnded());
      CHECK_FALSE(large.Resize(1, kNow));
      CHECK(answers.memory.Bytes() == kLimit / 2 + 1);
    }
  }

  WHEN("many of ordinary size arrive beside them")
  {
    constexpr std::size_t kMany = 2 * kLimit / kOrdinary - 1;
    for (std::size_t i = 0; i < kMany; ++i) {
      answers.Add(kOrdinary);
    }
    THEN("only the others end")
    {
      CHECK(answers.ended == 2);
      CHECK(large.IsEnded());
      CHECK(medium.IsEnded());
      CHECK(ordinary.Resize(kOrdinary, kNow));
    }
    THEN("no more are held than twice the limit")
    {
      CHECK(answers.memory.Bytes() == 2 * kLimit);
      MessageMemory::Share late(answers.memory, [] {});
      CHECK(late.Resize(1, kNow));
      CHECK(answers.ended == 3);
      CHECK(answers.memory.Bytes() == 2 * kLimit - kOrdinary + 1);
    }
  }

  WHEN("the largest one is complete")
  {
    large.NoteComplete();
    CHECK_FALSE(medium.Resize(kLimit / 2 + 1, kNow));
    THEN("the next one ends, as the limit holds")
    {
      CHECK_FALSE(large.IsEnded());
      CHECK(medium.IsEnded());
      CHECK(ordinary.Resize(kOrdinary, kNow));
    }
  }

  WHEN("complete ones wait for their receivers")
  {
    constexpr Duration kMaxWait = MessageMemory::kMaxWait;
    std::vector<MessageMemory::Share*> givenUp;
    large.NoteWaiting([&] { givenUp.push_back(&large); },
                      kNow + std::chrono::milliseconds(500));
    medium.NoteWaiting([&] { givenUp.push_back(&medium); }, kNow);

    THEN("the slowest one ends in favour of another one")
    {
      CHECK(ordinary.Resize(kLimit / 4 + 1, kNow + kMaxWait));
      CHECK(givenUp == std::vector<MessageMemory::Share*>{ &medium });
      CHECK(medium.IsEnded());
      CHECK_FALSE(large.IsEnded());
      CHECK(answers.memory.Bytes() == kLimit / 2 + kLimit / 4 + 1);
    }

    THEN("the next one ends too if that isn't enough")
    {
      CHECK(ordinary.Resize(kLimit, kNow + kMaxWait * 2));
      CHECK(givenUp == std::vector<MessageMemory::Share*>{ &medium, &large });
    }

    THEN("none ends that has not waited long")
    {
      CHECK_FALSE(ordinary.Resize(kLimit / 4 + 1, kNow + kMaxWait / 2));
      CHECK(givenUp.empty());
      CHECK(ordinary.IsEnded());
    }

    THEN("they end at once if twice the limit is exceeded")
    {
      CHECK_FALSE(ordinary.Resize(2 * kLimit, kNow + kMaxWait / 2));
      CHECK(givenUp == std::vector<MessageMemory::Share*>{ &medium, &large });
      CHECK(ordinary.IsEnded());
    }
  }

  WHEN("one is given up")
  {
    answers.shares.erase(answers.shares.begin());
    CHECK(answers.memory.Bytes() == kLimit / 4 + kOrdinary);
    CHECK(medium.Resize(kLimit - kOrdinary, kNow));
  }
}

// Guards against callers that take none of their short answers: each is of
// ordinary size, all together are not.
SCENARIO("short answers that wait for their receivers count")
{
  Answers answers;
  std::size_t givenUp = 0;
  constexpr std::size_t kMany = kLimit / kOrdinary;
  for (std::size_t i = 0; i < kMany; ++i) {
    answers.Add(kOrdinary).NoteWaiting([&] { ++givenUp; }, kNow);
  }
  CHECK(answers.memory.Bytes() == kLimit);

  THEN("a further one is received while they have not waited long")
  {
    CHECK(answers.Add(1).Resize(kOrdinary, kNow));
    CHECK(givenUp == 0);
  }

  THEN("one of them ends for it afterwards")
  {
    MessageMemory::Share further(answers.memory, [] {});
    CHECK(further.Resize(kOrdinary, kNow + MessageMemory::kMaxWait));
    CHECK(givenUp == 1);
    CHECK(answers.memory.Bytes() == kLimit);
  }
}
