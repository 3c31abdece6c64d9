// What one entry daemon believes: configuration, runners, cached parts, named
// weights and other daemons.
//
//   EntryState state(settings);
//   state.Apply(std::move(item), now);
#pragma once

#include "wigeonwalk/entry/entry_settings.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/part_index.h"
#include "wigeonwalk/fleet/runner_choice.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/retry/poison_tracker.h"
#include "wigeonwalk/retry/window_budget.h"
#include "wigeonwalk/routing/route_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwalk {

// Weights that were named, and when this daemon learnt of them.
struct KnownWeights
{
  WeightNumber version = 0;
  TimePoint since;
};

// What is known of a holder's cache events.
struct FollowedHolder
{
  CacheHolder holder;
  // Changes when the holder restarts.
  std::int64_t epoch = 0;
  std::uint64_t nextEvent = 0;
  // Last answer to a call for events.
  TimePoint answeredAt;
};

// All of it belongs to the daemon's one I/O thread.
class EntryState
{
public:
  // A source whose last answer is older than this is not fetched from: it may
  // have restarted, and what it holds now may be partly written.
  static constexpr Duration kSourceFresh = std::chrono::milliseconds(900);

  explicit EntryState(EntrySettings aSettings);

  // Takes over a decoded item. Returns what it changed of the runners.
  FleetChange Apply(RegistryItem aItem, TimePoint aNow);
  FleetChange ApplyRemoved(const RemovedItem& aItem, TimePoint aNow);

  // The configuration in force; null before the first one.
  const std::shared_ptr<const RouteTable>& Routes() const
  {
    return this->routes;
  }

  // Returns the runners of a service that may get a request now. Runners that
  // failed just now are left out while others are there.
  std::vector<std::shared_ptr<Runner>> Candidates(
    const ServiceName& aService,
    const std::vector<UpstreamId>& aTried,
    TimePoint aNow) const;

  // Returns the holders whose parts may be fetched now.
  std::vector<CacheHolder> Sources(TimePoint aNow) const;

  KnownWeights WeightsOf(const ModelName& aModel) const;

  // The number of daemons, this one included.
  std::size_t Daemons() const;

  const EntrySettings& Settings() const { return this->settings; }

  Fleet fleet;
  PartIndex parts;
  std::map<UpstreamId, FollowedHolder> holders;
  std::map<HostId, EntryMember> members;
  WindowBudget repeats;
  PoisonTracker poison;
  // No answer of the registry for a while.
  bool registryAway = true;
  // When the process started; the epoch where that does not matter.
  TimePoint startedAt;
  // The process is to stop.
  bool stopping = false;

private:
  void ForgetHolder(const UpstreamId& aHolder);

  EntrySettings settings;
  std::shared_ptr<const RouteTable> routes;
  std::map<ModelName, KnownWeights> weights;
};

} // namespace wigeonwalk
