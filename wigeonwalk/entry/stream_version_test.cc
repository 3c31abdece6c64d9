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

// Guards against a stream that its caller takes up again, and that goes on at
// another version than the one that began it.
SCENARIO("a caller takes up a stream that broke off")
{
  TestEntry entry;
  SetVersions(entry, { "v1", "v2", "v3" });
  entry.runners.scripts = { Script::BreakStreamAfterTwo };
  REQUIRE(entry.Send("resumable").aborted);
  REQUIRE(entry.peers.streams.size() == 1);
  const StreamRecord begun = entry.peers.streams[0];
  const AttemptSpec first = entry.runners.attempts[0];
  REQUIRE(begun.origin.version == VersionOf(entry, first));
  entry.runners.scripts = { Script::Answer };
  entry.requestId = RequestId("q-2");
  entry.firstAttempt = RequestId("q-1");

  WHEN("it comes back to the same daemon")
  {
    CHECK(entry.Send("resumable").complete);
    REQUIRE(entry.runners.attempts.size() == 2);
    CHECK(entry.runners.attempts[1].runner == first.runner);

    THEN("further take-ups name the first attempt as well")
    {
      for (int i = 3; i < 6; ++i) {
        entry.requestId = RequestId("q-" + std::to_string(i));
        entry.runners.scripts = { Script::BreakStreamAfterTwo };
        CHECK(entry.Send("resumable").aborted);
        CHECK(entry.runners.attempts.back().runner == first.runner);
      }
    }
  }

  WHEN("it comes to a daemon that others can tell")
  {
    TestEntry other;
    SetVersions(other, { "v3", "v2", "v1" });
    other.requestId = entry.requestId;
    other.firstAttempt = entry.firstAttempt;
    other.peers.kept[begun.key] = begun.origin;
    CHECK(other.Send("resumable").complete);
    REQUIRE(other.runners.attempts.size() == 1);
    CHECK(VersionOf(other, other.runners.attempts[0]) == begun.origin.version);

    AND_WHEN("the records contradict each other")
    {
      other.peers.kept[begun.key].version.clear();
      TestEntry third;
      third.requestId = entry.requestId;
      third.firstAttempt = entry.firstAttempt;
      third.peers.kept = other.peers.kept;
      const FakeCaller caller = third.Send("resumable");
      REQUIRE(caller.refusal);
      CHECK(caller.refusal->verdict == Verdict::NotRun);
      CHECK(third.runners.attempts.empty());
    }
  }

  WHEN("no runner of the version is left")
  {
    entry.state.ApplyRemoved(first.runner, entry.time.Now());
    const TimePoint sentAt = entry.time.Now();
    const FakeCaller caller = entry.Send("resumable");
    REQUIRE(caller.refusal);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
    CHECK(entry.runners.attempts.size() == 1);
    // Refused at once, without a wait for a runner.
    CHECK(entry.time.Now() == sentAt);
  }

  WHEN("the same attempt was sent twice and began at two versions")
  {
    entry.requestId = RequestId("q-1");
    entry.firstAttempt = RequestId();
    entry.state.ApplyRemoved(first.runner, entry.time.Now());
    entry.runners.scripts = { Script::BreakStreamAfterTwo };
    REQUIRE(entry.Send("resumable").aborted);
    entry.runners.scripts = { Script::Answer };
    entry.requestId = RequestId("q-2");
    entry.firstAttempt = RequestId("q-1");
    CHECK(entry.Send("resumable").refusal);
    CHECK(entry.runners.attempts.size() == 2);
  }

  WHEN("its route leads to another service now")
  {
    RoutingConfiguration moved = entry.state.Routes()->Configuration();
    ++moved.version;
    moved.services.push_back({ ServiceName("other"), "/health", 10, {}, {} });
    for (Route& route : moved.routes) {
      route.services = { { ServiceName("other"), 1 } };
    }
    entry.state.Apply(moved, entry.time.Now());
    CHECK(entry.Send("resumable").refusal);
    CHECK(entry.runners.attempts.size() == 1);
  }

  WHEN("the runner turns out to have started again with another version")
  {
    RunnerEntry reborn = entry.state.fleet.Find(first.runner)->entry;
    reborn.startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
                         entry.time.Now().time_since_epoch())
                         .count();
    reborn.softwareVersion = "v4";
    entry.state.Apply(reborn, entry.time.Now());
    CHECK(entry.Send("resumable").refusal);
    CHECK(entry.state.streamOrigins.TakeChanged().size() == 1);
  }

  WHEN("nothing is known of the attempt that is named")
  {
    const auto change = GENERATE(0, 1, 2, 3);
    CAPTURE(change);
    if (change == 0) {
      entry.firstAttempt = RequestId("q-never");
    } else if (change == 1) {
      // Another request.
      ++entry.content;
    } else if (change == 2) {
      entry.firstAttempt = RequestId();
      entry.hasLastEvent = true;
    } else {
      // It brought no event.
      entry.requestId = RequestId("q-silent");
      entry.firstAttempt = RequestId();
      entry.runners.scripts = { Script::RefuseWithoutRunning };
      entry.Send("resumable");
      entry.runners.scripts = { Script::Answer };
      entry.runners.attempts.resize(1);
      entry.requestId = RequestId("q-2");
      entry.firstAttempt = RequestId("q-silent");
    }
    const FakeCaller caller = entry.Send("resumable");
    REQUIRE(caller.refusal);
    CHECK(caller.refusal->verdict == Verdict::NotRun);
    CHECK(entry.runners.attempts.size() == 1);
  }

  WHEN("its route's streams can't be resumed")
  {
    CHECK(entry.Send("stream").complete);
  }
}

// Guards against refused take-ups after all daemons were lost, though a stream
// can only have begun at one version.
SCENARIO("no record of a stream is left")
{
  TestEntry entry;
  SetVersions(entry, { "v1", "v1", "v1" });
  entry.hasLastEvent = true;
  entry.firstAttempt = RequestId("q-0");
  const StreamOrigin origin{ ServiceName("plain"), "v1" };
  entry.state.registryKnownAt = entry.time.Now();
  entry.state.Apply(StreamVersions{ { origin } }, entry.time.Now());

  WHEN("one version has begun streams")
  {
    CHECK(entry.Send("resumable").complete);
  }

  WHEN("another version is listed")
  {
    const StreamOrigin other{ ServiceName("plain"), "v2" };
    entry.state.Apply(StreamVersions{ { origin, other } }, entry.time.Now());
    CHECK(entry.Send("resumable").refusal);
  }

  WHEN("a runner of another version is registered")
  {
    SetVersions(entry, { "v1", "v1", "v2" });
    CHECK(entry.Send("resumable").refusal);

    THEN("new streams begin at the listed version")
    {
      entry.hasLastEvent = false;
      entry.firstAttempt = RequestId();
      for (int i = 0; i < 8; ++i) {
        CHECK(entry.Send("resumable").complete);
        CHECK(VersionOf(entry, entry.runners.attempts.back()) == "v1");
      }
    }
  }

  WHEN("the list is from an older copy of the registry")
  {
    entry.state.Apply(StreamVersions{ { origin }, 1, false }, entry.time.Now());
    CHECK(entry.Send("resumable").refusal);
  }

  WHEN("the registry has not been heard of for long")
  {
    entry.time.RunUntil(entry.time.Now() + std::chrono::minutes(1));
    CHECK(entry.Send("resumable").refusal);
  }
}
