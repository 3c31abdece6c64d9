// Daemons that record when weights were published, for tests.
//
//   RecordingSetting setting;
//   const TimePoint second = setting.Publish("2");
#pragma once

#include "wigeonwalk/entry/test_registry.h"
#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/entry/weight_recorder.h"
#include "wigeonwalk/entry/weights_checkpoint.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Whether the daemons of a setting write checkpoints, so that a test can count
// the writes of records alone.
enum class Checkpoints
{
  None,
  Written,
};

// A daemon that records publications.
struct RecordingDaemon : RegistryDaemon
{
  using Recorder = WeightRecorder<FakeOrderAuthority,
                                  FakeKeyValue,
                                  TestDecoder,
                                  VirtualTime,
                                  NullLog>;
  using CheckpointWriter = WeightsCheckpointWriter<FakeOrderAuthority,
                                                   FakeKeyValue,
                                                   TestDecoder,
                                                   VirtualTime>;

  RecordingDaemon(VirtualTime& aTime,
                  FakeKeyValue& aService,
                  PeerNetwork& aNetwork,
                  const std::string& aHost,
                  bool aGivesOrders,
                  Checkpoints aCheckpoints = Checkpoints::None)
    : RegistryDaemon(aTime, aService, aNetwork, aHost)
    , recorder(state, mirror, authority, service, decoder, aTime, log)
    , checkpoints(state, mirror, authority, service, decoder, aTime)
  {
    this->authority.fenced = !aGivesOrders;
    aTime.Spawn(this->recorder.Run());
    if (aCheckpoints == Checkpoints::Written) {
      aTime.Spawn(this->checkpoints.Run());
    }
  }

  // Returns since when a version counts as replaced.
  std::optional<TimePoint> EstimatedReplacement(WeightNumber aVersion) const
  {
    return HistoryWithEstimates(this->state, kModel).ReplacedAt(aVersion);
  }

  std::optional<TimePoint> ReplacedAt(WeightNumber aVersion) const
  {
    return this->state.WeightsOf(kModel).ReplacedAt(aVersion);
  }

  std::optional<TimePoint> RecordedReplacement(WeightNumber aVersion) const
  {
    return this->state.RecordedWeightsOf(kModel).ReplacedAt(aVersion);
  }

  FakeOrderAuthority authority;
  Recorder recorder;
  CheckpointWriter checkpoints;
};

// Two daemons, the first of which gives orders.
struct RecordingSetting
{
  explicit RecordingSetting(Checkpoints aCheckpoints = Checkpoints::None)
    : writesCheckpoints(aCheckpoints)
    , service(time)
    , network(time, 7)
  {
    this->service.Store("config", "1");
    this->service.Store("weights/m", "1");
    this->service.Store("members/front-1", "peer-front-1");
    this->service.Store("members/front-2", "peer-front-2");
    this->StartAll();
    this->RunFor(std::chrono::seconds(3));
  }

  // Ends a daemon: its remaining tasks write nothing.
  void Kill(std::unique_ptr<RecordingDaemon> aDaemon)
  {
    aDaemon->authority.fenced = true;
    aDaemon->state.stopping = true;
    aDaemon->endpoint.alive = false;
    this->stopped.push_back(std::move(aDaemon));
  }

  void KillAll()
  {
    for (auto& daemon : this->daemons) {
      this->Kill(std::move(daemon));
    }
    this->daemons.clear();
  }

  // Starts both daemons, after those that ran before have ended.
  void StartAll()
  {
    this->KillAll();
    for (const char* host : { "front-1", "front-2" }) {
      this->daemons.push_back(
        std::make_unique<RecordingDaemon>(this->time,
                                          this->service,
                                          this->network,
                                          host,
                                          this->daemons.empty(),
                                          this->writesCheckpoints));
      this->daemons.back()->endpoint.alive = true;
    }
  }

  TimePoint Publish(const std::string& aVersion)
  {
    this->service.Store("weights/m", aVersion);
    return this->time.Now();
  }

  void RunFor(Duration aSpan) { this->time.RunUntil(this->time.Now() + aSpan); }

  Checkpoints writesCheckpoints;
  VirtualTime time;
  FakeKeyValue service;
  PeerNetwork network;
  std::vector<std::unique_ptr<RecordingDaemon>> stopped;
  std::vector<std::unique_ptr<RecordingDaemon>> daemons;
};

} // namespace wigeonwalk
