#include "wigeonwalk/fleet/stream_versions.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

namespace {

StreamOrigin
Origin(const std::string& aVersion)
{
  return { ServiceName("s"), aVersion };
}

struct Row
{
  const char* name;
  StreamVersions versions;
  std::vector<StreamOrigin> serving;
  bool hasOnly;
};

} // namespace

// Guards against a stream that is joined to another version, because an origin
// that it may have was overlooked.
TEST_CASE("the only origin that a stream can have")
{
  const auto row = GENERATE(values<Row>({
    { "one version", { { Origin("v1") }, 1, true }, { Origin("v1") }, true },
    { "its runners are gone", { { Origin("v1") }, 1, true }, {}, true },
    { "two versions",
      { { Origin("v1"), Origin("v2") }, 1, true },
      { Origin("v2") },
      false },
    { "a version that is not listed yet",
      { { Origin("v1") }, 1, true },
      { Origin("v1"), Origin("v2") },
      false },
    { "nothing is listed", {}, { Origin("v1") }, false },
    { "a list from an older copy of the registry",
      { { Origin("v1") }, 1, false },
      { Origin("v1") },
      false },
    { "an unknown version", { { Origin("") }, 1, true }, {}, false },
    { "others may be missing",
      { { StreamOrigin(), Origin("v1") }, 2, true },
      { Origin("v1") },
      false },
    { "the same version of two services",
      { { { ServiceName("a"), "v1" }, { ServiceName("b"), "v1" } }, 1, true },
      {},
      false },
  }));
  INFO(row.name);
  const auto only = OnlyOrigin(row.versions, row.serving);
  CHECK(only.has_value() == row.hasOnly);
  CHECK((!only || *only == Origin("v1")));
}
