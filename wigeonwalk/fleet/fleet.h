// The registered runners.
//
//   fleet.Register(entry);
//   fleet.Unregister(id, now);
//   for (const auto& runner : fleet.RunnersOf(service)) { ... }
#pragma once

#include "wigeonwalk/fleet/runner.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
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

  // Longest time for which the registry lists a runner that no longer runs: it
  // removes a registration after three heartbeat intervals without a write.
  static constexpr Duration kMaxSilence = std::chrono::seconds(4);
  // How long, and how many, former starts of runners are remembered: an older
  // copy of the registry still lists them.
  static constexpr Duration kFormerRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxFormer = 4'096;

  // Returns the entry with what it lacks and the runner has said before: its
  // start and, for the same start, its models and the version of its software.
  // Another writer may leave them out; that makes no other start of it, and no
  // other weights or software.
  RunnerEntry Complete(RunnerEntry aEntry) const;

  // A start that had been leaving when it was removed or replaced gets no
  // requests again.
  FleetChange Register(const RunnerEntry& aEntry);

  // Applies a registration that was listed after the registry was restored from
  // an older copy. A start that had been removed before gets no requests until
  // it is registered again, or has been listed for kMaxSilence. One that had
  // been replaced does not displace its successor.
  FleetChange RegisterRestored(const RunnerEntry& aEntry, TimePoint aNow);

  // Records that a start was replaced by another one of the same runner.
  void NoteReplaced(const Runner& aRunner, TimePoint aNow);

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

  // The number of remembered former starts.
  std::size_t FormerCount() const { return this->former.size(); }

private:
  // A start of a runner that is no longer registered.
  struct Former
  {
    // It was leaving when it was removed or replaced.
    bool wasLeaving = false;
    // It was replaced by another start.
    bool wasReplaced = false;
    TimePoint removedAt;
  };

  // Returns null if the start is unknown or not a former one.
  const Former* FindFormer(const RunnerEntry& aEntry) const;
  void NoteFormer(const Runner& aRunner, bool aReplaced, TimePoint aNow);

  std::unordered_map<UpstreamId, std::shared_ptr<Runner>> runners;
  // By id and start.
  std::map<std::pair<UpstreamId, std::int64_t>, Former> former;
  TimePoint registryReturnedAt;
};

} // namespace wigeonwalk
