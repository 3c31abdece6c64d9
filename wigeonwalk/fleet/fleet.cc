#include "wigeonwalk/fleet/fleet.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace wigeonwalk {

RunnerEntry
Fleet::Complete(RunnerEntry aEntry) const
{
  const auto registered = this->Find(aEntry.id);
  if (aEntry.startedAt == 0 && registered != nullptr) {
    aEntry.startedAt = registered->entry.startedAt;
  } else if (aEntry.startedAt == 0) {
    // The last start that is remembered of a runner that is gone.
    const auto after = this->former.upper_bound(
      { aEntry.id, std::numeric_limits<std::int64_t>::max() });
    if (after != this->former.begin() &&
        std::prev(after)->first.first == aEntry.id) {
      aEntry.startedAt = std::prev(after)->first.second;
    }
  }
  const bool isSameStart =
    registered != nullptr && registered->entry.startedAt == aEntry.startedAt;
  if (isSameStart && aEntry.models.empty()) {
    aEntry.models = registered->entry.models;
  }
  if (isSameStart && aEntry.softwareVersion.empty()) {
    aEntry.softwareVersion = registered->entry.softwareVersion;
  }
  return aEntry;
}

FleetChange
Fleet::Register(const RunnerEntry& aEntry)
{
  const Former* known = this->FindFormer(aEntry);
  const bool hadLeft = known != nullptr && known->wasLeaving;
  std::shared_ptr<Runner>& slot = this->runners[aEntry.id];
  const bool isNew = slot == nullptr;
  const bool restarted = !isNew && (slot->entry.startedAt != aEntry.startedAt ||
                                    slot->entry.address != aEntry.address ||
                                    slot->entry.service != aEntry.service);
  if (restarted && hadLeft) {
    return FleetChange::None;
  }
  if (isNew || restarted) {
    slot = std::make_shared<Runner>();
    slot->entry = aEntry;
    slot->leaving = aEntry.state == RunnerState::Leaving || hadLeft;
    return isNew ? FleetChange::Added : FleetChange::Restarted;
  }
  Runner& runner = *slot;
  runner.missingUntil.reset();
  const bool wasDoubted = runner.doubtedUntil != TimePoint();
  runner.doubtedUntil = TimePoint();
  runner.isVersionDisputed |=
    !runner.entry.softwareVersion.empty() && !aEntry.softwareVersion.empty() &&
    runner.entry.softwareVersion != aEntry.softwareVersion;
  if (runner.entry == aEntry) {
    return wasDoubted ? FleetChange::Updated : FleetChange::None;
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
Fleet::RegisterRestored(const RunnerEntry& aEntry, TimePoint aNow)
{
  const auto runner = this->Find(aEntry.id);
  const Former* known = this->FindFormer(aEntry);
  const bool isOtherStart =
    runner != nullptr && runner->entry.startedAt != aEntry.startedAt;
  if (isOtherStart && known != nullptr && known->wasReplaced) {
    return FleetChange::None;
  }
  const bool isDoubted =
    runner != nullptr ? aNow < runner->doubtedUntil : known != nullptr;
  const FleetChange change = this->Register(aEntry);
  if (isDoubted) {
    this->runners.at(aEntry.id)->doubtedUntil = aNow + kMaxSilence;
  }
  return change;
}

void
Fleet::NoteReplaced(const Runner& aRunner, TimePoint aNow)
{
  this->NoteFormer(aRunner, true, aNow);
}

const Fleet::Former*
Fleet::FindFormer(const RunnerEntry& aEntry) const
{
  const auto found = this->former.find({ aEntry.id, aEntry.startedAt });
  return found == this->former.end() ? nullptr : &found->second;
}

void
Fleet::NoteFormer(const Runner& aRunner, bool aReplaced, TimePoint aNow)
{
  const std::int64_t start = aRunner.entry.startedAt;
  if (start == 0) {
    return;
  }
  Former& row = this->former[{ aRunner.entry.id, start }];
  row = { row.wasLeaving || aRunner.leaving,
          row.wasReplaced || aReplaced,
          aNow };
  if (this->former.size() > kMaxFormer) {
    const auto oldest = std::min_element(
      this->former.begin(),
      this->former.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.removedAt < aRight.second.removedAt;
      });
    this->former.erase(oldest);
  }
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
  this->NoteFormer(*found->second, false, aNow);
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
      this->NoteFormer(runner, false, aNow);
      runner.leaving = true;
      it = this->runners.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(this->former, [aNow](const auto& aRow) {
    return aNow - aRow.second.removedAt >= kFormerRetention;
  });
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
