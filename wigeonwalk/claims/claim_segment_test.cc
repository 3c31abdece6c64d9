#include "wigeonwalk/claims/claim_table.h"
#include "wigeonwalk/claims/claim_text_codec.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(20'000h);
const ClaimKey kKey = ClaimKeyOf(OrganisationId("o"), ServiceName("s"), "k");

ClaimMade
Made(const ClaimKey& aKey)
{
  return { aKey, BodyFingerprintOf("two pickups"), kNow };
}

struct AgeCase
{
  const char* story;
  Duration age;
  KeyAge expected;
};

constexpr AgeCase kAges[] = {
  { "new", 0s, KeyAge::Valid },
  { "just within the window less the margin", 570s, KeyAge::Valid },
  { "just outside of it", 571s, KeyAge::TooOld },
  { "from a clock that is ahead", -30s, KeyAge::Valid },
  { "from a clock that is far ahead", -31s, KeyAge::TooNew },
};

constexpr const char* kDamaged[] = {
  "",    "1", "2o", "1x", "1ob", "1oc", "1obAAAAAAAAAAAAc", "1obAAAAAAAAAA!",
  "1oz",
};

} // namespace

// Guards against a segment that another daemon reads differently, and against
// values above the limit.
SCENARIO("segments survive their text form and stay bounded", "[segment]")
{
  GIVEN("a segment with each kind of entry")
  {
    ClaimSegment segment;
    const std::vector<ClaimEntry> entries = {
      Made(kKey),
      ClaimReleased{ { ~0ULL, 4095 } },
      ClaimFinished{ { 7, 3 }, Verdict::Ran, 599 },
    };
    CHECK(AppendBatch<ClaimTextCodec>(segment, ~0ULL - 1, entries) == 3);
    const std::string text = ClaimTextCodec::Encode(segment);
    LastReason reason;

    THEN("it reads back the same, and its size is as computed")
    {
      CHECK(ClaimTextCodec::Decode(text, reason) == segment);
      CHECK(EncodedSize<ClaimTextCodec>(segment) == text.size());
    }
    THEN("no prefix of it within an entry is taken for a segment")
    {
      const auto cut = ClaimTextCodec::Decode(
        std::string_view(text).substr(0, text.size() - 1), reason);
      CHECK_FALSE(cut.has_value());
      CHECK(reason.code == ReasonCode::Corrupt);
    }
  }
  GIVEN("damaged texts")
  {
    for (const char* text : kDamaged) {
      LastReason reason;
      CAPTURE(text);
      CHECK_FALSE(ClaimTextCodec::Decode(text, reason).has_value());
    }
  }
  GIVEN("more claims than one segment holds")
  {
    const std::vector<ClaimEntry> entries(100, Made(kKey));
    ClaimSegment segment;
    const std::size_t taken = AppendBatch<ClaimTextCodec>(segment, 1, entries);
    THEN("the rest is left, and the segment is sealed within its limit")
    {
      CHECK(taken > 50);
      CHECK(taken < 100);
      CHECK(segment.sealed);
      CHECK(ClaimTextCodec::Encode(segment).size() <= kMaxSegmentBytes);
    }
  }
}

// Guards I6: a replayed log that gives a key to the wrong claim.
SCENARIO("a log is replayed into a table", "[table]")
{
  ClaimTable table;
  table.Apply({ 1, { Made(kKey) } });
  const ClaimRef first{ 1, 0 };

  GIVEN("a second claim of the key")
  {
    table.Apply({ 2, { Made(kKey) } });
    THEN("the first holds it")
    {
      CHECK(table.Find(kKey)->claim == first);
    }
  }
  GIVEN("its release")
  {
    table.Apply({ 2, { ClaimReleased{ first } } });
    CHECK(table.Find(kKey)->state == ClaimState::Released);
    WHEN("the key is claimed again and the old claim is released again")
    {
      table.Apply({ 3, { Made(kKey) } });
      table.Apply({ 4, { ClaimReleased{ first } } });
      THEN("the new claim stands")
      {
        CHECK(table.Find(kKey)->state == ClaimState::Claimed);
        CHECK(table.Find(kKey)->claim == ClaimRef{ 3, 0 });
      }
    }
  }
  GIVEN("its outcome")
  {
    table.Apply({ 2, { ClaimFinished{ first, Verdict::Ran, 201 } } });
    THEN("it cannot be released any more")
    {
      table.Apply({ 3, { ClaimReleased{ first } } });
      CHECK(table.Find(kKey)->state == ClaimState::Finished);
      CHECK(table.Find(kKey)->status == 201);
    }
  }
  GIVEN("time that passes")
  {
    table.Forget(kNow + kClaimWindow + kClockMargin, kClaimWindow);
    CHECK(table.Size() == 1);
    table.Forget(kNow + kClaimWindow + kClockMargin + 1s, kClaimWindow);
    THEN("it is forgotten only after every daemon refuses its key")
    {
      CHECK(table.Size() == 0);
      CHECK(table.KeyOf(first) == nullptr);
    }
  }
}

// Guards I2 and I6: two different calls that share a claim, or a key whose
// claim was already forgotten.
SCENARIO("keys are digests with a creation time", "[claim]")
{
  THEN("no two ways to cut the same letters give the same key")
  {
    CHECK(ClaimKeyOf(OrganisationId("a:b"), ServiceName("c"), "d") !=
          ClaimKeyOf(OrganisationId("a"), ServiceName("b:c"), "d"));
    CHECK(BodyFingerprintOf("a") != BodyFingerprintOf("b"));
  }
  THEN("a UUID of version 7 carries its time, other texts do not")
  {
    CHECK(CreationTimeOfUuid("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
          TimePoint(1645557742000ms));
    CHECK_FALSE(CreationTimeOfUuid("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    CHECK_FALSE(CreationTimeOfUuid("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"));
    CHECK_FALSE(CreationTimeOfUuid("order-17"));
  }
  for (const AgeCase& row : kAges) {
    GIVEN(std::string("a key that is ") + row.story)
    {
      CHECK(CheckKeyAge(kNow - row.age, kNow, kClaimWindow) == row.expected);
    }
  }
}
