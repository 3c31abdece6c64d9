#include "wigeonwalk/cache/piece_key.h"

#include <catch2/catch.hpp>

#include <string>
#include <unordered_set>

using namespace wigeonwalk;

namespace {

const PieceScope kScope{ OrganisationId("lenga"),
                         ServiceName("route"),
                         ModelName("m"),
                         WeightVersion("v1"),
                         AdapterName("a") };

std::string
Prompt(std::size_t aPieces, char aFill)
{
  return std::string(aPieces * kPieceBytes, aFill);
}

} // namespace

// Guards against a piece that a request of another organisation, service,
// model, weight version or adapter can match (invariants I2 and I3).
TEST_CASE("no piece matches outside its scope", "[piece_key]")
{
  std::vector<PieceScope> scopes(7, kScope);
  scopes[1].organisation = OrganisationId("arauco");
  scopes[2].service = ServiceName("order");
  scopes[3].model = ModelName("n");
  scopes[4].version = WeightVersion("v2");
  scopes[5].adapter = AdapterName("");
  // The same bytes with the boundary between two fields moved.
  scopes[6].organisation = OrganisationId("lengar");
  scopes[6].service = ServiceName("oute");
  std::unordered_set<PieceKey> keys;
  for (const PieceScope& scope : scopes) {
    for (const PieceKey& key :
         PieceChain(ScopeSalt("secret", scope), Prompt(3, 'x'))) {
      keys.insert(key);
    }
  }
  CHECK(keys.size() == scopes.size() * 3);
  CHECK(ScopeSalt("secret", kScope) != ScopeSalt("other secret", kScope));
}

SCENARIO("a piece's key covers the whole prefix before it", "[piece_key]")
{
  GIVEN("a prompt of two and a half pieces")
  {
    const PieceKey salt = ScopeSalt("secret", kScope);
    const std::string prompt = Prompt(2, 'a') + std::string(4096, 'b');
    const auto chain = PieceChain(salt, prompt);
    THEN("only whole pieces have keys")
    {
      CHECK(chain.size() == 2);
      CHECK(CountTokens(prompt) == 2 * kPieceTokens + 1024);
    }
    // Guards against the reuse of a piece after a different prefix.
    WHEN("a byte of the first piece changes")
    {
      std::string other = prompt;
      other[0] = 'c';
      const auto otherChain = PieceChain(salt, other);
      THEN("every later key changes")
      {
        CHECK(otherChain[0] != chain[0]);
        CHECK(otherChain[1] != chain[1]);
      }
    }
    WHEN("the prompt is continued")
    {
      const auto longer = PieceChain(salt, prompt + Prompt(1, 'd'));
      THEN("the keys of its beginning stay the same")
      {
        REQUIRE(longer.size() == 3);
        CHECK(longer[0] == chain[0]);
        CHECK(longer[1] == chain[1]);
      }
    }
  }
}

// Guards against keys that differ between daemon versions or hosts, which would
// make all stored pieces useless. The expected value was computed with
// `(head -c16 /dev/zero; printf abc) | sha256sum`.
TEST_CASE("the digest of a piece is fixed", "[piece_key]")
{
  CHECK(NextPieceKey({}, "abc").ToHex() == "277e7ff6d232b9763f4a66e8d05d210d");
}
