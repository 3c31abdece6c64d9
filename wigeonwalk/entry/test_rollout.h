// Fixtures shared by the tests of orders, rollouts and stores: a service of
// engines with a store, and a daemon that may give orders.
//
//   EntryState state(MakeSettings("front-1"));
//   state.Apply(MakeConfiguration(), now);
//   AddRunners(state, control, 2);
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/test_settings.h"
#include "wigeonwalk/testing/fake_runner_control.h"

#include <cstdint>
#include <optional>
#include <string>

namespace wigeonwalk {

inline const ModelName kModel("m");

// May give orders until it is fenced.
struct FakeOrderAuthority
{
  std::optional<std::uint64_t> FencingNumber()
  {
    return this->fenced ? std::nullopt : std::optional<std::uint64_t>(7);
  }
  void NoteFenced() { this->fenced = true; }
  bool fenced = false;
};

inline RoutingConfiguration
MakeConfiguration()
{
  RoutingConfiguration configuration;
  configuration.version = 1;
  ServiceConfiguration service;
  service.name = ServiceName("engines");
  service.engine = EngineTraits{};
  ServiceConfiguration store;
  store.name = ServiceName("store");
  store.cacheStore =
    CacheStoreTraits{ .address = "store", .freedByCaller = true };
  configuration.services = { service, store };
  return configuration;
}

inline void
AddRunners(EntryState& aState, FakeRunnerControl& aControl, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    RunnerEntry entry;
    entry.id = UpstreamId("r-" + std::to_string(i));
    entry.service = ServiceName("engines");
    entry.address = "a-" + std::to_string(i);
    entry.models = { { kModel, 1 } };
    aState.Apply(entry, TimePoint());
    aControl.runners[entry.address] = {};
  }
}

} // namespace wigeonwalk
