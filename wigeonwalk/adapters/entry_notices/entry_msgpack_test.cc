#include "wigeonwalk/adapters/entry_notices/entry_msgpack.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

TEST_CASE("entry daemons understand each other")
{
  const EntryMsgpack codec;

  SECTION("about a runner that loads weights")
  {
    const RunnerPause pause{ UpstreamId("r-1"), ModelName("m"), 3, 2s };
    CHECK(codec.DecodePause(codec.EncodePause(pause)) == pause);
  }

  SECTION("about their loads")
  {
    const RunnerLoads loads{ { { UpstreamId("r-1"), 2, 17'000 },
                               { UpstreamId("r-2"), 0, 0 } } };
    CHECK(codec.DecodeLoads(codec.EncodeLoads(loads)) == loads);
    const RunnerWork work{ UpstreamId("r-1"), 12'800 };
    CHECK(codec.DecodeWork(codec.EncodeWork(work)) == work);
  }

  SECTION("about parts that a holder has")
  {
    const HeldParts parts{ UpstreamId("172.20.0.2:8006"),
                           77,
                           { { { 1, ~0ULL }, 12'800 }, { { 2, 3 }, 0 } } };
    CHECK(codec.DecodeParts(codec.EncodeParts(parts)) == parts);
  }

  SECTION("about the registry, values of any bytes included")
  {
    RegistryChanges changes{ 12, true, {} };
    WatchEvent put{ false, { "a/b", std::string("\0\xFF{", 3), 4, 9, 0 } };
    WatchEvent removal{ true, { "a/c", "", 0, 11, 0 } };
    changes.changes = { put, removal };
    const auto decoded = codec.DecodeChanges(codec.EncodeChanges(changes));
    REQUIRE(decoded.has_value());
    CHECK(decoded->revision == 12);
    CHECK(decoded->full);
    REQUIRE(decoded->changes.size() == 2);
    CHECK(decoded->changes[0].entry == put.entry);
    CHECK(decoded->changes[1].deleted);
    CHECK(codec.DecodeQuery(codec.EncodeQuery({ 7 })) == RegistryQuery{ 7 });
  }

  SECTION("and drop what they can't read")
  {
    const std::string broken =
      GENERATE(std::string(), std::string("\xC1"), std::string("\x91\xA1x"));
    CHECK_FALSE(codec.DecodePause(broken).has_value());
    CHECK_FALSE(codec.DecodeQuery(broken).has_value());
    CHECK_FALSE(codec.DecodeChanges(broken).has_value());
  }
}
