#include "wigeonwalk/fleet/part_index.h"

#include <catch2/catch.hpp>

#include <string>

using namespace wigeonwalk;

namespace {

PartKey
Key(const std::string& aPart)
{
  return KeyOfPart("salt", aPart);
}

} // namespace

// Guards against callers whose prompts list many small parts: the memory of a
// daemon, and what it knows of the holders that other callers use.
SCENARIO("the number of holdings is bounded")
{
  constexpr std::size_t kMaxHoldings = 100;
  PartIndex index(kMaxHoldings);
  const UpstreamId used("used");
  const UpstreamId flooded("flooded");
  for (int i = 0; i < 10; ++i) {
    index.Set(used, Key("shared-" + std::to_string(i)), 300);
    index.Set(flooded, Key("shared-" + std::to_string(i)), 300);
  }

  WHEN("prompts at one holder list many parts")
  {
    for (int i = 0; i < 1'000; ++i) {
      index.Set(flooded, Key("small-" + std::to_string(i)), 1);
    }

    THEN("no more than the bound are kept")
    {
      CHECK(index.Holdings() == kMaxHoldings);
      CHECK(index.Parts() <= kMaxHoldings);
      CHECK(index.Evicted() == 1'020 - kMaxHoldings);
    }

    THEN("the other holder keeps its parts")
    {
      CHECK(index.TokensOf(used) == 10 * 300);
      CHECK(index.TokensAt(used, Key("shared-0")) == 300);
    }

    THEN("the least recently used parts of the flooded one are gone")
    {
      CHECK(index.TokensAt(flooded, Key("shared-9")) == 0);
      CHECK(index.TokensAt(flooded, Key("small-999")) == 1);
      CHECK(index.TokensOf(flooded) == kMaxHoldings - 10);
    }
  }

  WHEN("a holder is forgotten")
  {
    index.Forget(flooded);

    THEN("its holdings are not counted any more")
    {
      CHECK(index.Holdings() == 10);
      CHECK(index.Evicted() == 0);
    }
  }

  WHEN("a part is reported again")
  {
    index.Set(used, Key("shared-0"), 200);

    THEN("it is counted once")
    {
      CHECK(index.Holdings() == 20);
      CHECK(index.TokensOf(used) == 9 * 300 + 200);
    }
  }
}
