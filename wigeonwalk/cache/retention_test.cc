#include "wigeonwalk/cache/retention.h"
#include "wigeonwalk/cache/return_model.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

TEST_CASE("every retention action parses back to its value", "[enum]")
{
  for (const auto& row : EnumNames<RetentionAction>::kTable) {
    CHECK(ParseName<RetentionAction>(row.name) == row.value);
  }
}

SCENARIO("the chance of return follows the observed returns", "[return_model]")
{
  const ServiceName service("route");
  const OrganisationId busy("busy");
  const OrganisationId rare("rare");
  ReturnModel model;

  GIVEN("an organisation whose prompts return after 20 minutes")
  {
    for (int i = 0; i < 400; ++i) {
      model.NoteServed(service, busy);
      if (i % 2 == 0) {
        model.NoteReturn(service, busy, 20min);
      }
    }
    THEN("a fresh prompt is likely within the hour, an old one is not")
    {
      CHECK(model.ChanceWithin(service, busy, 0s, 1h) > 0.45);
      CHECK(model.ChanceWithin(service, busy, 10h, 1h) < 0.05);
    }
    // Guards against dropping all pieces of an organisation without
    // observations.
    THEN("an organisation without observations follows the service")
    {
      CHECK(model.ChanceWithin(service, rare, 0s, 1h) > 0.4);
    }
    WHEN("another organisation never returns")
    {
      for (int i = 0; i < 400; ++i) {
        model.NoteServed(service, rare);
      }
      CHECK(model.ChanceWithin(service, rare, 0s, 1h) < 0.05);
      CHECK(model.ChanceWithin(service, busy, 0s, 1h) > 0.4);
    }
  }
  GIVEN("nothing observed")
  {
    const double chance = model.ChanceWithin(service, busy, 0s, 24h);
    CHECK(chance > 0);
    CHECK(chance < 1);
  }
}

// Guards against keeping pieces that are not worth their space, and against
// dropping pieces that are.
SCENARIO("a piece is kept where its worth is highest", "[retention]")
{
  const Retention retention{ RetentionPrices{} };
  const PieceValue base{ .bytes = 128u << 20,
                         .recomputeSeconds = 0.4,
                         .memoryReadSeconds = 0.05,
                         .diskReadSeconds = 0.2,
                         .returnChance = 0.5 };
  struct Case
  {
    const char* name;
    double chance;
    std::uint32_t otherCopies;
    Scarcity scarcity;
    RetentionAction expected;
  };
  const Case cases[] = {
    { "a piece with a likely return is kept in memory",
      0.5,
      0,
      {},
      RetentionAction::KeepInMemory },
    { "a piece with a small chance is kept while there is space",
      0.01,
      0,
      {},
      RetentionAction::KeepInMemory },
    { "a piece goes to disk while memory evicts better pieces",
      0.5,
      0,
      { 2, 0, 0 },
      RetentionAction::KeepOnDisk },
    { "a piece is dropped while the disk evicts better pieces",
      0.01,
      0,
      { 2, 0.1, 0 },
      RetentionAction::Drop },
    { "a piece whose prompt never returns is dropped",
      0,
      0,
      {},
      RetentionAction::Drop },
    { "a piece with a copy elsewhere is not exported",
      0.5,
      1,
      {},
      RetentionAction::Drop },
    { "a saturated link costs more than a piece is worth",
      0.3,
      0,
      { 0, 0, 0.99 },
      RetentionAction::Drop },
  };
  for (const Case& row : cases) {
    INFO(row.name);
    PieceValue piece = base;
    piece.returnChance = row.chance;
    piece.otherCopies = row.otherCopies;
    CHECK(retention.BeforeEviction(piece, row.scarcity) == row.expected);
  }
  THEN("a stored piece moves to disk and is dropped as its chance falls")
  {
    PieceValue piece = base;
    CHECK(retention.Review(piece, StoreTier::Memory, {}) ==
          RetentionAction::KeepInMemory);
    piece.returnChance = 0.01;
    CHECK(retention.Review(piece, StoreTier::Memory, { 0.1, 0, 0 }) ==
          RetentionAction::KeepOnDisk);
    piece.returnChance = 0;
    CHECK(retention.Review(piece, StoreTier::Disk, {}) ==
          RetentionAction::Drop);
    CHECK(retention.ValueDensity(piece, StoreTier::Disk) <
          retention.ValueDensity(base, StoreTier::Disk));
  }
  THEN("prefetch and replication stop when callers need the link")
  {
    CHECK(retention.ShouldPrefetch(base, 0.5, {}));
    CHECK_FALSE(retention.ShouldPrefetch(base, 0.5, { 1, 0, 0 }));
    CHECK_FALSE(retention.ShouldPrefetch(base, 0.5, { 0, 0, 0.6 }));
    CHECK_FALSE(retention.ShouldPrefetch(base, 0.001, { 0, 0, 0.4 }));
    PieceValue second = base;
    second.otherCopies = 1;
    CHECK(retention.ShouldReplicate(second, {}));
    CHECK_FALSE(retention.ShouldReplicate(second, { 0, 0, 0.6 }));
    CHECK_FALSE(retention.ShouldReplicate(second, { 0, 0.5, 0 }));
    CHECK_FALSE(retention.ShouldReplicate(base, {}));
  }
}
