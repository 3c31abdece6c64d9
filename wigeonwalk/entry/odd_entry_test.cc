#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

} // namespace

// Guards against requests to a runner that leaves, and on KV cache of other
// weights, because another writer's entry lacks what the runner has said.
SCENARIO("another writer's entry of a runner lacks fields")
{
  TestEntry entry;
  const UpstreamId id("r-1");
  RunnerEntry own = entry.state.fleet.Find(id)->entry;
  own.startedAt = 1'000;
  own.models = { { kModel, 2 } };
  entry.state.Apply(own, entry.time.Now());
  const auto isServing = [&] {
    const auto runner = entry.state.fleet.Find(id);
    return runner != nullptr &&
           entry.state.MaySend(*runner, entry.time.Now()) && !runner->leaving;
  };
  REQUIRE(isServing());
  RunnerEntry odd = own;

  GIVEN("a runner that leaves, and an entry without its start")
  {
    RunnerEntry leaving = own;
    leaving.state = RunnerState::Leaving;
    entry.state.Apply(leaving, entry.time.Now());
    odd.startedAt = 0;

    THEN("it gets no requests again")
    {
      entry.state.Apply(odd, entry.time.Now());
      CHECK_FALSE(isServing());
    }

    THEN("it gets none after its registration is gone either")
    {
      entry.state.ApplyRemoved(id, entry.time.Now());
      entry.state.Apply(odd, entry.time.Now());
      CHECK_FALSE(isServing());
    }

    THEN("its next start does")
    {
      entry.state.Apply(odd, entry.time.Now());
      RunnerEntry next = own;
      next.startedAt = 2'000;
      entry.state.Apply(next, entry.time.Now());
      CHECK(isServing());
    }
  }

  GIVEN("an entry without models")
  {
    odd.models.clear();
    entry.state.Apply(odd, entry.time.Now());

    THEN("the runner's weights are still known")
    {
      CHECK(entry.state.fleet.Find(id)->VersionOf(kModel) == 2);
      CHECK(isServing());
    }

    THEN("what the runner says next holds")
    {
      own.models = { { kModel, 3 } };
      entry.state.Apply(own, entry.time.Now());
      CHECK(entry.state.fleet.Find(id)->VersionOf(kModel) == 3);
    }
  }

  GIVEN("an entry of another start without models")
  {
    odd.models.clear();
    odd.startedAt = 2'000;
    entry.state.Apply(odd, entry.time.Now());

    THEN("nothing is known of its weights")
    {
      CHECK(entry.state.fleet.Find(id)->VersionOf(kModel) == 0);
    }
  }
}
