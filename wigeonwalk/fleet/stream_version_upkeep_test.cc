#include "wigeonwalk/fleet/stream_version_upkeep.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(24) };

using Origins = std::vector<StreamOrigin>;

Origins
OriginsOf(const std::vector<std::string>& aVersions)
{
  Origins origins;
  for (const std::string& version : aVersions) {
    origins.push_back({ ServiceName("s"), version });
  }
  return origins;
}

} // namespace

// Guards against a version that is forgotten while its streams may be taken up,
// and against a list that is written over and over.
SCENARIO("the list of versions that begin streams is kept up to date")
{
  StreamVersionUpkeep upkeep;
  const Origins one = OriginsOf({ "v1" });
  const Origins two = OriginsOf({ "v1", "v2" });

  GIVEN("no list")
  {
    CHECK_FALSE(upkeep.Update(std::nullopt, false, {}, kStart));
    CHECK(upkeep.Update(std::nullopt, false, one, kStart) == one);
  }

  GIVEN("a list of one version")
  {
    const StreamVersions known{ one, 1, true };
    CHECK_FALSE(upkeep.Update(known, true, one, kStart));

    WHEN("another one serves")
    {
      CHECK(upkeep.Update(known, true, two, kStart) == two);
      CHECK(upkeep.Update(known, true, OriginsOf({ "v2" }), kStart) == two);
    }

    WHEN("it is lost, or from an older copy of the registry")
    {
      Origins uncertain = one;
      uncertain.insert(uncertain.begin(), StreamOrigin());
      CHECK(upkeep.Update(known, false, one, kStart) == uncertain);
      const StreamVersions copied{ one, 1, false };
      CHECK(upkeep.Update(copied, true, one, kStart) == uncertain);
    }
  }

  GIVEN("a list with a version that no runner has any more")
  {
    const StreamVersions known{ two, 1, true };
    CHECK_FALSE(upkeep.Update(known, true, one, kStart));
    const TimePoint last = kStart + StreamVersionUpkeep::kRetention;
    CHECK_FALSE(upkeep.Update(known, true, one, last - 1s));

    THEN("it is removed after the retention")
    {
      CHECK(upkeep.Update(known, true, one, last) == one);
    }

    THEN("it stays if a runner has had it since")
    {
      CHECK_FALSE(upkeep.Update(known, true, two, last - 1s));
      CHECK_FALSE(upkeep.Update(known, true, one, last));
    }
  }
}
