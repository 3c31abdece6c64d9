// All runners that are registered.
//
//   fleet.Register(entry);
//   fleet.Unregister(id, now);
//   for (const auto& runner : fleet.RunnersOf(service, now)) { ... }
#pragma once

#include "wigeonwalk/fleet/runner.h"

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// What a registration changed.
enum class FleetChange
{
  None,
  Added,
  // The same id with a later start: all that was known of it is gone.
  Restarted,
  StartedLeaving,
  Updated,
  Removed,
  // Kept for a while, because registrations lapse in an outage.
  Missing,
};

template<>
struct EnumNames<FleetChange>
{
  static constexpr std::array<EnumName<FleetChange>, 7> kTable{ {
    { FleetChange::None, "none" },
    { FleetChange::Added, "added" },
    { FleetChange::Restarted, "restarted" },
    { FleetChange::StartedLeaving, "started-leaving" },
    { FleetChange::Updated, "updated" },
    { FleetChange::Removed, "removed" },
    { FleetChange::Missing, "missing" },
  } };
};
static_assert(HasCompleteTable<FleetChange>());

// The table of runners. One thread only.
class Fleet
{
public:
  // Registrations that lapsed while the registry was away are back within two
  // seconds of its return; one that is still missing after this is gone.
  static constexpr Duration kReturnGrace = std::chrono::milliseconds(2'300);

  FleetChange Register(const RunnerEntry& aEntry);

  // The runner's registration is gone. Shortly after an outage of the registry
  // the runner is kept until kReturnGrace after the registry's return.
  FleetChange Unregister(const UpstreamId& aRunner, TimePoint aNow);

  // The registry answers again after an outage.
  void NoteRegistryReturned(TimePoint aNow);

  // Removes runners whose grace has ended. Returns their ids.
  std::vector<UpstreamId> Expire(TimePoint aNow);

  // Returns the runner, also one that is leaving; null where it is unknown.
  std::shared_ptr<Runner> Find(const UpstreamId& aRunner) const;

  // Returns the runners of a service that may get new work.
  std::vector<std::shared_ptr<Runner>> RunnersOf(
    const ServiceName& aService) const;

  // Returns all runners, also those that are leaving.
  std::vector<std::shared_ptr<Runner>> All() const;

  std::size_t Size() const { return this->runners.size(); }

private:
  std::unordered_map<UpstreamId, std::shared_ptr<Runner>> runners;
  TimePoint registryReturnedAt;
};

} // namespace wigeonwalk
