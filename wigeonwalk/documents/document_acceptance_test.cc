#include "wigeonwalk/documents/document_acceptance.h"
#include "wigeonwalk/documents/document_propagation.h"
#include "wigeonwalk/documents/test_codec.h"
#include "wigeonwalk/testing/fake_key_value.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using Acceptance =
  DocumentAcceptance<VirtualTime, FakeKeyValue, TestDocumentCodec>;

DocumentEdit
Edit(const std::string& aId, std::uint64_t aBase, const std::string& aBody)
{
  return { ServiceName("orders"), aId, "ana", aBase, "orders\n" + aBody };
}

// A key-value service and the acceptance code that operators' edits go through.
struct AcceptanceFixture
{
  EditResult Send(DocumentEdit aEdit)
  {
    const auto result = this->Begin(std::move(aEdit));
    this->time.RunUntil(this->time.Now() + 10s);
    return *result;
  }

  std::shared_ptr<EditResult> Begin(DocumentEdit aEdit)
  {
    auto result = std::make_shared<EditResult>();
    this->time.Spawn(this->Run(std::move(aEdit), result));
    return result;
  }

  Task<void> Run(DocumentEdit aEdit, std::shared_ptr<EditResult> aResult)
  {
    *aResult = co_await this->acceptance.Accept(aEdit, this->time.Now() + 5s);
  }

  // Returns the revision in the service. Checks that each edit in the history
  // made exactly one revision.
  std::uint64_t Revision()
  {
    const auto entry = this->service.Peek("documents/orders");
    if (!entry) {
      return 0;
    }
    FailureReason reason;
    const auto stored = this->codec.Decode(entry->value, reason);
    for (std::size_t i = 1; i < stored->history.size(); ++i) {
      CHECK(stored->history[i].revision == stored->history[i - 1].revision + 1);
    }
    return stored->copy.revision;
  }

  VirtualTime time;
  FakeKeyValue service{ this->time };
  TestDocumentCodec codec;
  Acceptance acceptance{ this->time, this->service, this->codec };
};

} // namespace

TEMPLATE_TEST_CASE("every name in a table of documents parses back",
                   "[enum]",
                   Freshness,
                   EditOutcome,
                   LearnedFrom)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}

// Guards against accepting two concurrent edits of the same revision, of which
// one would be lost.
SCENARIO("an edit is accepted once, on the revision it is based on",
         "[acceptance]")
{
  AcceptanceFixture fixture;
  REQUIRE(fixture.Send(Edit("e1", 0, "a\n")).revision == 1);
  REQUIRE(fixture.Send(Edit("e2", 1, "a\nb\n")).revision == 2);

  WHEN("two operators edit revision 2 at the same time")
  {
    const auto first = fixture.Begin(Edit("e3", 2, "a\nc\n"));
    const auto second = fixture.Begin(Edit("e4", 2, "a\nd\n"));
    fixture.time.RunUntil(fixture.time.Now() + 10s);
    THEN("one is accepted and the other is refused with the difference")
    {
      CHECK(first->outcome == EditOutcome::Accepted);
      CHECK(second->outcome == EditOutcome::Refused);
      CHECK(second->reasons.at(0).code == ReasonCode::Conflict);
      CHECK(second->current->revision == 3);
      CHECK(second->difference == "- c\n+ d\n");
      CHECK(fixture.Revision() == 3);
    }
  }
  WHEN("an operator sends an accepted edit again")
  {
    const EditResult again = fixture.Send(Edit("e1", 0, "a\n"));
    THEN("the answer is that of the first time, and nothing changes")
    {
      CHECK(again.outcome == EditOutcome::Accepted);
      CHECK(again.revision == 1);
      CHECK(fixture.Revision() == 2);
    }
  }
  WHEN("an edit is based on a revision that is no longer in the history")
  {
    for (std::uint64_t base = 2; base < 2 + kMaxEditRecords; ++base) {
      fixture.Send(Edit("f" + std::to_string(base), base, "a\n"));
    }
    const std::uint64_t revision = fixture.Revision();
    THEN("nothing is written, and its outcome is not known")
    {
      const EditResult late = fixture.Send(Edit("late", 1, "z\n"));
      CHECK(late.outcome == EditOutcome::NotYetKnown);
      CHECK(fixture.Revision() == revision);
    }
  }
  WHEN("an edit is invalid")
  {
    CHECK(fixture.Send(Edit("", 2, "a\n")).outcome == EditOutcome::Refused);
    CHECK(fixture.Send(Edit("e2", 2, "x\n")).outcome == EditOutcome::Refused);
    CHECK(fixture.Send(Edit("e2", 1, "x\n")).outcome == EditOutcome::Refused);
    CHECK(fixture.Send(Edit("e9", 7, "x\n")).outcome == EditOutcome::Refused);
    DocumentEdit edit = Edit("e9", 2, "");
    edit.text = "invalid\nzoen\n";
    const EditResult invalid = fixture.Send(edit);
    CHECK(invalid.outcome == EditOutcome::Refused);
    CHECK(invalid.reasons.size() == 2);
    CHECK(fixture.Revision() == 2);
  }
}

// Guards against reporting the wrong outcome of an edit, and against applying
// it twice, after the answer of the key-value service was lost.
SCENARIO("a fault of the key-value service leaves a correct answer",
         "[acceptance]")
{
  struct Case
  {
    const char* name;
    KeyValueFault fault;
    Duration from;
    Duration until;
    Duration delay;
    EditOutcome expected;
    std::uint64_t revisionAtLast;
  };
  using enum KeyValueFault;
  // The read takes 2 ms, and a fault applies to calls that start during it: one
  // from 1.5 ms on does not affect the read, but the write.
  const auto row = GENERATE(values<Case>({
    { "down", Down, 0s, 10s, 0s, EditOutcome::Refused, 1 },
    { "down at the write", Down, 1500us, 10s, 0s, EditOutcome::Refused, 1 },
    { "answer lost", AnswerLost, 1500us, 3ms, 0s, EditOutcome::Accepted, 2 },
    { "all answers lost",
      AnswerLost,
      1500us,
      10s,
      0s,
      EditOutcome::NotYetKnown,
      2 },
    { "silent for 2 s", Silent, 1500us, 2s, 0s, EditOutcome::Accepted, 2 },
    { "silent", Silent, 1500us, 10s, 0s, EditOutcome::NotYetKnown, 1 },
    { "write late by 3 s", Slow, 1500us, 10ms, 3s, EditOutcome::Accepted, 2 },
    { "write after the deadline",
      Slow,
      1500us,
      9s,
      7s,
      EditOutcome::NotYetKnown,
      2 },
  }));
  CAPTURE(row.name);
  AcceptanceFixture fixture;
  REQUIRE(fixture.Send(Edit("e1", 0, "a\n")).revision == 1);
  const TimePoint start = fixture.time.Now();
  fixture.service.AddFault(
    { row.fault, start + row.from, start + row.until, row.delay, "" });
  const EditResult result = fixture.Send(Edit("e2", 1, "b\n"));
  CHECK(NameOf(result.outcome) == NameOf(row.expected));
  fixture.time.RunUntil(start + 30s);
  CHECK(fixture.Revision() == row.revisionAtLast);

  // Sending it again with the same id gives the outcome, and does not apply it
  // twice.
  const EditResult again = fixture.Send(Edit("e2", 1, "b\n"));
  CHECK(again.outcome == EditOutcome::Accepted);
  CHECK(fixture.Revision() == 2);
}
