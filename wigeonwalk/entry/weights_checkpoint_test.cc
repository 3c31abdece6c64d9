#include "wigeonwalk/entry/weights_checkpoint.h"

#include "wigeonwalk/entry/test_recording.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

using CheckpointWriter = RecordingDaemon::CheckpointWriter;

// How long before the loss of all daemons the last checkpoint can be: the
// interval, and the time until the mirror has the probed revision.
constexpr Duration kMaxCheckpointAge = CheckpointWriter::kInterval + 2s;

// Returns the time in the registry's checkpoint.
std::optional<TimePoint>
CheckpointOf(const RecordingSetting& aSetting)
{
  const auto item = aSetting.service.Peek("checkpoint");
  if (!item) {
    return std::nullopt;
  }
  FailureReason reason;
  const RegistryItem decoded = TestDecoder{}.Decode(*item, reason);
  return std::get<WeightsCheckpoint>(decoded).recordedUntil;
}

} // namespace

// Guards against requests on replaced weights after a loss of all daemons: a
// publication that nobody recorded was taken for younger than it was, if they
// were down, or had nobody who could record it, for longer than assumed.
SCENARIO("unrecorded weights are never taken for younger than they are")
{
  RecordingSetting setting(Checkpoints::Written);
  setting.RunFor(10s);
  const Duration darkness = GENERATE(1s, 4s, 9s, 30s);
  CAPTURE(darkness.count());

  GIVEN("a publication while all daemons are down")
  {
    const TimePoint lostAt = setting.time.Now();
    setting.KillAll();
    setting.RunFor(500ms);
    const TimePoint second = setting.Publish("2");
    setting.RunFor(darkness);
    setting.StartAll();
    setting.RunFor(1s);

    THEN("it counts from the last checkpoint")
    {
      for (const auto& daemon : setting.daemons) {
        REQUIRE(daemon->EstimatedReplacement(1));
        CHECK(*daemon->EstimatedReplacement(1) <= second);
        CHECK(*daemon->EstimatedReplacement(1) >= lostAt - kMaxCheckpointAge);
      }
    }

    WHEN("all are lost again before and after it is recorded")
    {
      setting.StartAll();
      setting.RunFor(6s);
      setting.StartAll();
      setting.RunFor(1s);
      THEN("it does not count anew")
      {
        for (const auto& daemon : setting.daemons) {
          REQUIRE(daemon->RecordedReplacement(1));
          CHECK(*daemon->RecordedReplacement(1) <= second);
          CHECK(*daemon->EstimatedReplacement(1) <= second);
          CHECK(*daemon->EstimatedReplacement(1) >= lostAt - kMaxCheckpointAge);
        }
      }
    }

    WHEN("the operator writes the same version again")
    {
      setting.Publish("2");
      setting.RunFor(6s);
      THEN("the time of that write does not count")
      {
        for (const auto& daemon : setting.daemons) {
          CHECK(*daemon->EstimatedReplacement(1) <= second);
        }
      }
    }

    WHEN("a further version is published later")
    {
      setting.RunFor(5s);
      const TimePoint third = setting.Publish("3");
      setting.RunFor(2s);
      setting.StartAll();
      setting.RunFor(1s);
      THEN("each one has its own time")
      {
        CHECK(*setting.daemons[1]->EstimatedReplacement(1) <= second);
        CHECK(*setting.daemons[1]->EstimatedReplacement(2) >= third);
        CHECK(*setting.daemons[1]->EstimatedReplacement(2) <= third + 1s);
      }
    }
  }

  GIVEN("two publications while all daemons are down")
  {
    setting.KillAll();
    const TimePoint second = setting.Publish("2");
    setting.RunFor(darkness);
    setting.Publish("3");
    setting.StartAll();
    setting.RunFor(1s);
    THEN("the first weights count as replaced since the first one")
    {
      CHECK(*setting.daemons[0]->EstimatedReplacement(1) <= second);
    }
  }

  GIVEN("daemons that can record nothing before all are lost")
  {
    for (const auto& daemon : setting.daemons) {
      daemon->service.AddLinkFault({ .fault = KeyValueFault::Down,
                                     .from = setting.time.Now(),
                                     .until = setting.time.Now() + 1h,
                                     .keyPrefix = "published/" });
    }
    const TimePoint second = setting.Publish("2");
    setting.RunFor(darkness);
    setting.StartAll();
    setting.RunFor(1s);
    THEN("no checkpoint is later than the publication")
    {
      REQUIRE(CheckpointOf(setting));
      CHECK(*CheckpointOf(setting) <= second);
      CHECK(*setting.daemons[1]->EstimatedReplacement(1) <= second);
      CHECK(*setting.daemons[1]->EstimatedReplacement(1) >=
            second - kMaxCheckpointAge);
    }
  }

  GIVEN("a daemon that learns of changes late")
  {
    for (const auto& daemon : setting.daemons) {
      daemon->service.AddLinkFault({ .fault = KeyValueFault::QuietWatch,
                                     .from = setting.time.Now(),
                                     .until = setting.time.Now() + 1h });
    }
    const TimePoint second = setting.Publish("2");
    setting.RunFor(darkness);
    THEN("it writes no checkpoint that covers a change it has not seen")
    {
      CHECK((*CheckpointOf(setting) <= second ||
             setting.daemons[0]->RecordedReplacement(1)));
    }
  }
}

// Guards against bounds that are none: a registry without a checkpoint, and one
// of a host whose clock was ahead.
SCENARIO("without a checkpoint the use of replaced weights ends at once")
{
  const TimePoint now(24h);
  EntryState state(MakeSettings("front-1"));
  const Duration allowed = state.Settings().bounds.newWeights;
  state.Apply(DesiredWeights{ kModel, 3, 30, true }, now);
  const auto replacedAt = [&state] {
    return *HistoryWithEstimates(state, kModel).ReplacedAt(1);
  };
  CHECK(replacedAt() == now - allowed);
  CHECK(UsableUntil(state, kModel, 1) < now);

  WHEN("the registry has a checkpoint")
  {
    state.Apply(WeightsCheckpoint{ now - 3s }, now);
    CHECK(replacedAt() == now - 3s);
  }

  WHEN("its checkpoint is later than the moment the weights were found")
  {
    state.Apply(WeightsCheckpoint{ now + 1s }, now);
    CHECK(replacedAt() == now - allowed);
  }

  WHEN("the version before is recorded as published since the checkpoint")
  {
    state.Apply(WeightsCheckpoint{ now - 5s }, now);
    state.Apply(WeightsRecord{ kModel, { { 2, 20, now - 2s } } }, now);
    THEN("the later one was published after that")
    {
      CHECK(*HistoryWithEstimates(state, kModel).ReplacedAt(2) == now - 2s);
      CHECK(replacedAt() == now - 2s);
    }
  }
}

// Guards against calls of the registry without need, by each daemon.
SCENARIO("one daemon writes checkpoints, at intervals")
{
  RecordingSetting setting(Checkpoints::Written);
  setting.RunFor(60s);
  const auto checkpoints = setting.service.Changes("checkpoint").size();
  CHECK(checkpoints >= 20);
  CHECK(checkpoints <= 32);

  WHEN("no daemon gives orders")
  {
    setting.daemons[0]->authority.fenced = true;
    setting.RunFor(60s);
    CHECK(setting.service.Changes("checkpoint").size() <= checkpoints + 1);
  }
}
