#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace wigeonwalk;

namespace {

constexpr std::array<const char*, 3> kRunnerIds{ "r-1", "r-2", "r-3" };

// Gives the three runners versions of their software.
void
SetVersions(TestEntry& aEntry, const std::array<std::string, 3>& aVersions)
{
  for (std::size_t i = 0; i < kRunnerIds.size(); ++i) {
    RunnerEntry entry =
      aEntry.state.fleet.Find(UpstreamId(kRunnerIds[i]))->entry;
    // Another start, as the version of one does not change.
    ++entry.startedAt;
    entry.softwareVersion = aVersions[i];
    aEntry.state.Apply(entry, aEntry.time.Now());
  }
}

std::string
VersionOf(const TestEntry& aEntry, const AttemptSpec& aAttempt)
{
  return aEntry.state.fleet.Find(aAttempt.runner)->SoftwareVersion();
}

} // namespace

// Guards against one answer that holds events of two software versions.
SCENARIO("a stream goes on only at the software version that began it")
{
  TestEntry entry;
  entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };

  WHEN("another runner has the same version")
  {
    SetVersions(entry, { "v1", "v1", "v1" });
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.complete);
    CHECK(caller.body == "1;2;3;4;");
  }

  WHEN("some of the other runners have it")
  {
    SetVersions(entry, { "v1", "v1", "v2" });
    for (int i = 0; i < 8; ++i) {
      entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
      entry.runners.attempts.clear();
      const FakeCaller caller = entry.Send("resumable");
      const auto& attempts = entry.runners.attempts;
      if (caller.complete) {
        REQUIRE(attempts.size() == 2);
        CHECK(VersionOf(entry, attempts[0]) == VersionOf(entry, attempts[1]));
      } else {
        CHECK(caller.aborted);
        CHECK(VersionOf(entry, attempts[0]) == "v2");
      }
    }
  }

  WHEN("no other runner has it")
  {
    SetVersions(entry, { "v1", "v2", "v3" });
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK(entry.runners.attempts.size() == 1);
  }

  WHEN("the versions are unknown")
  {
    SetVersions(entry, { "", "", "" });
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK(entry.runners.attempts.size() == 1);
  }
}
