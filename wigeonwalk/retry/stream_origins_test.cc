#include "wigeonwalk/retry/stream_origins.h"

#include <catch2/catch.hpp>

#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(24) };

StreamRecord
MakeRecord(std::uint64_t aKey, const std::string& aVersion)
{
  return { { 0, aKey }, { ServiceName("s"), aVersion } };
}

} // namespace

// Guards against a take-up that is joined to the wrong version, and against
// records that fill the memory.
SCENARIO("where streams began is remembered")
{
  StreamOrigins origins;
  const UpstreamId runner("r-1");
  origins.Record(MakeRecord(1, "v1"), runner, kStart);
  REQUIRE(origins.Find({ 0, 1 }) == StreamOrigin{ ServiceName("s"), "v1" });
  CHECK_FALSE(origins.Find({ 0, 2 }));

  WHEN("the same is reported again")
  {
    origins.Record(MakeRecord(1, "v1"), UpstreamId(), kStart + 1s);
    CHECK(origins.Find({ 0, 1 })->IsKnown());
  }

  WHEN("another origin is reported")
  {
    origins.Record(MakeRecord(1, "v2"), UpstreamId(), kStart + 1s);

    THEN("none is known from then on")
    {
      CHECK_FALSE(origins.Find({ 0, 1 })->IsKnown());
      origins.Record(MakeRecord(1, "v1"), UpstreamId(), kStart + 2s);
      CHECK_FALSE(origins.Find({ 0, 1 })->IsKnown());
    }
  }

  WHEN("the runner has run another version since before")
  {
    origins.NoteOtherVersion(runner, kStart - 1s);
    CHECK_FALSE(origins.Find({ 0, 1 })->IsKnown());
    CHECK(origins.TakeChanged().size() == 1);
    CHECK(origins.TakeChanged().empty());
  }

  WHEN("the runner runs another version later, or another runner does")
  {
    origins.NoteOtherVersion(runner, kStart + 10s);
    origins.NoteOtherVersion(UpstreamId("r-2"), kStart - 1s);
    CHECK(origins.Find({ 0, 1 })->IsKnown());
  }

  WHEN("the stream goes on again and again")
  {
    for (int i = 1; i <= 30; ++i) {
      origins.Record(MakeRecord(1, "v1"),
                     runner,
                     kStart + i * (StreamOrigins::kRetention / 2));
    }
    CHECK(origins.Find({ 0, 1 }));
  }

  WHEN("nothing is heard of it for long")
  {
    origins.Record(
      MakeRecord(2, "v1"), runner, kStart + StreamOrigins::kRetention);
    CHECK_FALSE(origins.Find({ 0, 1 }));
    CHECK(origins.Size() == 1);
  }

  WHEN("what was written of them is lost")
  {
    origins.Record(MakeRecord(2, "v1"), runner, kStart + 5s);
    CHECK(origins.TakeUnwritten().size() == 2);
    CHECK(origins.TakeUnwritten().empty());
    origins.MarkUnwritten(kStart + 1s);
    CHECK(origins.TakeUnwritten() == std::vector{ MakeRecord(2, "v1") });
    origins.Record(MakeRecord(1, "v1"), runner, kStart + 6s);
    origins.MarkUnwritten(kStart + 1s);
    CHECK(origins.TakeUnwritten().size() == 2);
  }

  WHEN("very many streams begin")
  {
    for (std::uint64_t i = 2; i < 2 * StreamOrigins::kMaxStreams; ++i) {
      origins.Record(MakeRecord(i, "v1"), runner, kStart + 1s);
    }
    CHECK(origins.Size() <= StreamOrigins::kMaxStreams);
    CHECK_FALSE(origins.Find({ 0, 1 }));
  }
}

// Guards against a take-up that another organisation or another request gets.
TEST_CASE("the key of a stream depends on all that identifies it")
{
  const auto key = [](const char* aId, const char* aOrganisation) {
    return StreamKey(
      RequestId(aId), OrganisationId(aOrganisation), "a.example", { 1, 2 });
  };
  CHECK(key("q-1", "tofu") == key("q-1", "tofu"));
  CHECK(key("q-1", "tofu") != key("q-2", "tofu"));
  CHECK(key("q-1", "tofu") != key("q-1", "soy"));
  CHECK(
    key("q-1", "tofu") !=
    StreamKey(RequestId("q-1"), OrganisationId("tofu"), "b.example", { 1, 2 }));
  CHECK(
    key("q-1", "tofu") !=
    StreamKey(RequestId("q-1"), OrganisationId("tofu"), "a.example", { 1, 3 }));
}
