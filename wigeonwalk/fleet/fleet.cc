#include "wigeonwalk/fleet/fleet.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

FleetChange
Fleet::Register(const RunnerEntry& aEntry)
{
  std::shared_ptr<Runner>& slot = this->runners[aEntry.id];
  const bool isNew = slot == nullptr;
  const bool restarted = !isNew && (slot->entry.startedAt != aEntry.startedAt ||
                                    slot->entry.address != aEntry.address ||
                                    slot->entry.service != aEntry.service);
  if (isNew || restarted) {
    slot = std::make_shared<Runner>();
    slot->entry = aEntry;
    slot->leaving = aEntry.state == RunnerState::Leaving;
    return isNew ? FleetChange::Added : FleetChange::Restarted;
  }
  Runner& runner = *slot;
  runner.missingUntil.reset();
  if (runner.entry == aEntry) {
    return FleetChange::None;
  }
  // A heartbeat that was written before an order to load weights was executed
  // still contains the older version.
  RunnerEntry merged = aEntry;
  for (LoadedModel& loaded : merged.models) {
    loaded.version = std::max(loaded.version, runner.VersionOf(loaded.model));
  }
  runner.entry = std::move(merged);
  if (aEntry.state == RunnerState::Leaving && !runner.leaving) {
    runner.leaving = true;
    return FleetChange::StartedLeaving;
  }
  return FleetChange::Updated;
}

FleetChange
Fleet::Unregister(const UpstreamId& aRunner, TimePoint aNow)
{
  const auto found = this->runners.find(aRunner);
  if (found == this->runners.end()) {
    return FleetChange::None;
  }
  const TimePoint graceEnd = this->registryReturnedAt + kReregistrationGrace;
  if (aNow < graceEnd && !found->second->leaving) {
    found->second->missingUntil = graceEnd;
    return FleetChange::Missing;
  }
  found->second->leaving = true;
  this->runners.erase(found);
  return FleetChange::Removed;
}

void
Fleet::NoteRegistryReturned(TimePoint aNow)
{
  this->registryReturnedAt = aNow;
}

std::vector<UpstreamId>
Fleet::Expire(TimePoint aNow)
{
  std::vector<UpstreamId> expired;
  for (auto it = this->runners.begin(); it != this->runners.end();) {
    Runner& runner = *it->second;
    if (runner.missingUntil && *runner.missingUntil <= aNow) {
      expired.push_back(it->first);
      runner.leaving = true;
      it = this->runners.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::shared_ptr<Runner>
Fleet::Find(const UpstreamId& aRunner) const
{
  const auto found = this->runners.find(aRunner);
  return found == this->runners.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Runner>>
Fleet::RunnersOf(const ServiceName& aService) const
{
  std::vector<std::shared_ptr<Runner>> found;
  for (const auto& [id, runner] : this->runners) {
    if (!runner->leaving && runner->entry.service == aService) {
      found.push_back(runner);
    }
  }
  return found;
}

std::vector<std::shared_ptr<Runner>>
Fleet::All() const
{
  std::vector<std::shared_ptr<Runner>> all;
  for (const auto& [id, runner] : this->runners) {
    all.push_back(runner);
  }
  return all;
}

} // namespace wigeonwalk
