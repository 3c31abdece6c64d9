// The registered runners.
//
//   fleet.Register(entry);
//   fleet.Unregister(id, now);
//   for (const auto& runner : fleet.RunnersOf(service)) { ... }
#pragma once

#include "wigeonwalk/fleet/runner.h"

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Effect of a registration or of its removal.
enum class FleetChange
{
  None,
  Added,
  // The same id with another start: its previous state is discarded.
  Restarted,
  StartedLeaving,
  Updated,
  Removed,
  // Unregistered but kept for a grace period, because registrations expire
  // during an outage of the registry.
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

// The table of runners. Not thread-safe.
class Fleet
{
public:
  // Runners whose registrations expired during an outage of the registry
  // register again within two seconds of its return. One that is still missing
  // after this time is removed.
  static constexpr Duration kReregistrationGrace =
    std::chrono::milliseconds(2'300);

  FleetChange Register(const RunnerEntry& aEntry);

  // Removes a runner whose registration has disappeared. Shortly after an
  // outage of the registry, the runner is kept until kReregistrationGrace after
  // the registry's return instead.
  FleetChange Unregister(const UpstreamId& aRunner, TimePoint aNow);

  // Records that the registry answers again after an outage.
  void NoteRegistryReturned(TimePoint aNow);

  // Removes missing runners whose grace period has ended. Returns their ids.
  std::vector<UpstreamId> Expire(TimePoint aNow);

  // Returns the runner, even if it is leaving; null if it is unknown.
  std::shared_ptr<Runner> Find(const UpstreamId& aRunner) const;

  // Returns the runners of a service that are not leaving.
  std::vector<std::shared_ptr<Runner>> RunnersOf(
    const ServiceName& aService) const;

  // Returns all runners, including those that are leaving.
  std::vector<std::shared_ptr<Runner>> All() const;

  std::size_t Size() const { return this->runners.size(); }

private:
  std::unordered_map<UpstreamId, std::shared_ptr<Runner>> runners;
  TimePoint registryReturnedAt;
};

} // namespace wigeonwalk
