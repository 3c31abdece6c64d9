#include "wigeonwalk/cache/piece_directory.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

namespace {

const UpstreamId kIsar("isar");
const UpstreamId kLech("lech");

SealedPiece
Piece(const UpstreamId& aStore,
      std::uint64_t aRoot,
      std::uint32_t aIndex,
      std::uint64_t aGeneration = 1)
{
  SealedPiece piece{ aStore, { aRoot, aIndex }, aGeneration, 100, 7 };
  piece.root = { aRoot, 0 };
  piece.index = aIndex;
  return piece;
}

std::vector<PieceKey>
Chain(std::uint64_t aRoot, std::uint64_t aLength)
{
  std::vector<PieceKey> chain;
  for (std::uint64_t i = 0; i < aLength; ++i) {
    chain.push_back({ aRoot, i });
  }
  return chain;
}

} // namespace

SCENARIO("one lookup covers a whole chain", "[directory]")
{
  PieceDirectory directory(100);
  for (std::uint32_t i = 0; i < 4; ++i) {
    directory.Record(Piece(kIsar, 1, i));
  }
  directory.Record(Piece(kLech, 1, 0));

  THEN("the pieces up to the first unknown one are found with all copies")
  {
    const auto found = directory.Lookup(Chain(1, 6));
    REQUIRE(found.size() == 4);
    CHECK(found[0].size() == 2);
    CHECK(directory.Lookup(Chain(2, 3)).empty());
  }
  // Guards against restores that continue after a missing piece.
  WHEN("a piece in the middle is gone")
  {
    directory.Remove(Piece(kIsar, 1, 2));
    THEN("the chain ends before it")
    {
      CHECK(directory.Lookup(Chain(1, 4)).size() == 2);
    }
  }
  // Guards against a stale generation from reports that arrive out of order.
  WHEN("a piece was written again and old reports arrive")
  {
    directory.Record(Piece(kIsar, 1, 0, 5));
    directory.Record(Piece(kIsar, 1, 0, 4));
    directory.Remove(Piece(kIsar, 1, 0, 4));
    THEN("the newest generation stays")
    {
      CHECK(directory.Lookup(Chain(1, 1))[0][0].piece.generation == 5);
    }
  }
  WHEN("a store host is doubtful")
  {
    directory.MarkDoubtful(kIsar);
    const auto found = directory.Lookup(Chain(1, 2));
    THEN("its copies have less weight, and others are preferred")
    {
      CHECK(found[0][0].piece.store == kLech);
      CHECK(found[0][1].weight == kDoubtfulWeight);
      CHECK(found[1][0].weight == kDoubtfulWeight);
    }
    AND_WHEN("its list arrives")
    {
      const std::vector<SealedPiece> list{ Piece(kIsar, 1, 0, 2),
                                           Piece(kIsar, 9, 0) };
      directory.Rebuild(
        kIsar, list, [](const PieceKey& aRoot) { return aRoot.high == 1; });
      THEN("only what it lists, and what belongs to the shard, is known")
      {
        const auto rebuilt = directory.Lookup(Chain(1, 4));
        REQUIRE(rebuilt.size() == 1);
        CHECK(rebuilt[0][0].weight == 1);
        CHECK(directory.Lookup(Chain(9, 1)).empty());
        CHECK(directory.Records() == 2);
      }
    }
  }
  WHEN("a store host is lost")
  {
    directory.Forget(kIsar);
    CHECK(directory.Records() == 1);
  }
}

// Guards against memory use that grows with the number of prompts.
SCENARIO("the directory's memory is bounded", "[directory]")
{
  PieceDirectory directory(6);
  for (std::uint64_t root = 1; root <= 3; ++root) {
    directory.Record(Piece(kIsar, root, 0));
    directory.Record(Piece(kIsar, root, 1));
  }
  WHEN("one chain is used and another arrives")
  {
    directory.Lookup(Chain(1, 1));
    directory.Record(Piece(kIsar, 4, 0));
    THEN("the least recently used chain is dropped")
    {
      CHECK(directory.Lookup(Chain(1, 2)).size() == 2);
      CHECK(directory.Lookup(Chain(2, 2)).empty());
    }
  }
  WHEN("a single chain exceeds the bound")
  {
    for (std::uint32_t i = 0; i < 20; ++i) {
      directory.Record(Piece(kIsar, 7, i));
    }
    CHECK(directory.Records() == 6);
  }
}
