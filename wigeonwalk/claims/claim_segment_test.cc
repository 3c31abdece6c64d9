#include "wigeonwalk/claims/claim_table.h"
#include "wigeonwalk/claims/claim_text_codec.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(20'000h);
const ClaimKey kKey = ClaimKeyOf(OrganisationId("o"), ServiceName("s"), "k");

ClaimMade
MakeClaim(const ClaimKey& aKey)
{
  return { aKey, BodyFingerprintOf("two pickups"), kNow };
}

struct AgeCase
{
  const char* description;
  Duration age;
  KeyAge expected;
};

constexpr AgeCase kAges[] = {
  { "new", 0s, KeyAge::Valid },
  { "as old as the window less the margin", 570s, KeyAge::Valid },
  { "older than the window less the margin", 571s, KeyAge::TooOld },
  { "from a clock that is ahead by the margin", -30s, KeyAge::Valid },
  { "from a clock that is ahead by more than that", -31s, KeyAge::TooNew },
};

constexpr const char* kDamaged[] = {
  "",    "1", "2o", "1x", "1ob", "1oc", "1obAAAAAAAAAAAAc", "1obAAAAAAAAAA!",
  "1oz",
};

} // namespace

// Guards against a segment that is decoded differently from how it was encoded,
// and against values above the size limit.
SCENARIO("segments round-trip through the codec and stay bounded", "[segment]")
{
  GIVEN("a segment with each kind of entry")
  {
    ClaimSegment segment;
    const std::vector<ClaimEntry> entries = {
      MakeClaim(kKey),
      ClaimReleased{ { ~0ULL, 4095 } },
      ClaimFinished{ { 7, 3 }, Verdict::Ran, 599 },
    };
    CHECK(AppendBatch<ClaimTextCodec>(segment, ~0ULL - 1, entries) == 3);
    const std::string text = ClaimTextCodec::Encode(segment);
    FailureReason reason;

    THEN("it decodes to the same segment, and its size is as computed")
    {
      CHECK(ClaimTextCodec::Decode(text, reason) == segment);
      CHECK(EncodedSize<ClaimTextCodec>(segment) == text.size());
    }
    THEN("a value that is truncated within an entry is rejected")
    {
      const auto cut = ClaimTextCodec::Decode(
        std::string_view(text).substr(0, text.size() - 1), reason);
      CHECK_FALSE(cut.has_value());
      CHECK(reason.code == ReasonCode::Corrupt);
    }
  }
  GIVEN("malformed values")
  {
    for (const char* text : kDamaged) {
      FailureReason reason;
      CAPTURE(text);
      CHECK_FALSE(ClaimTextCodec::Decode(text, reason).has_value());
    }
  }
  GIVEN("more claims than one segment holds")
  {
    const std::vector<ClaimEntry> entries(100, MakeClaim(kKey));
    ClaimSegment segment;
    const std::size_t taken = AppendBatch<ClaimTextCodec>(segment, 1, entries);
    THEN("the rest is not taken, and the segment is sealed within its limit")
    {
      CHECK(taken > 50);
      CHECK(taken < 100);
      CHECK(segment.sealed);
      CHECK(ClaimTextCodec::Encode(segment).size() <= kMaxSegmentBytes);
    }
  }
}

// Guards I6: replaying the log assigns a key to the wrong claim.
SCENARIO("a log is replayed into a table", "[table]")
{
  ClaimTable table;
  table.Apply({ 1, { MakeClaim(kKey) } });
  const ClaimRef first{ 1, 0 };

  GIVEN("a second claim of the key")
  {
    table.Apply({ 2, { MakeClaim(kKey) } });
    THEN("the first claim holds it")
    {
      CHECK(table.Find(kKey)->claim == first);
    }
  }
  GIVEN("its release")
  {
    table.Apply({ 2, { ClaimReleased{ first } } });
    CHECK(table.Find(kKey)->state == ClaimState::Released);
    WHEN("the key is claimed again and the first claim is released again")
    {
      table.Apply({ 3, { MakeClaim(kKey) } });
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
  GIVEN("a key that gets older")
  {
    table.Forget(kNow + kClaimWindow + kClaimClockMargin, kClaimWindow);
    CHECK(table.Size() == 1);
    table.Forget(kNow + kClaimWindow + kClaimClockMargin + 1s, kClaimWindow);
    THEN("its claim is forgotten only after every daemon refuses the key")
    {
      CHECK(table.Size() == 0);
      CHECK(table.KeyOf(first) == nullptr);
    }
  }
}

// Guards I2 and I6: two different calls share a claim, or a key is accepted
// although its claim was already forgotten.
SCENARIO("keys are digests with a creation time", "[claim]")
{
  THEN("splitting the same text differently gives a different key")
  {
    CHECK(ClaimKeyOf(OrganisationId("a:b"), ServiceName("c"), "d") !=
          ClaimKeyOf(OrganisationId("a"), ServiceName("b:c"), "d"));
    CHECK(BodyFingerprintOf("a") != BodyFingerprintOf("b"));
  }
  THEN("a version 7 UUID contains its creation time, other texts do not")
  {
    CHECK(CreationTimeOfUuid("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
          TimePoint(1645557742000ms));
    CHECK_FALSE(CreationTimeOfUuid("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    CHECK_FALSE(CreationTimeOfUuid("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"));
    CHECK_FALSE(CreationTimeOfUuid("order-17"));
  }
  for (const AgeCase& row : kAges) {
    GIVEN(std::string("a key that is ") + row.description)
    {
      CHECK(CheckKeyAge(kNow - row.age, kNow, kClaimWindow) == row.expected);
    }
  }
}
