#include "wigeonwalk/entry/item_mirror.h"

#include <algorithm>
#include <set>

namespace wigeonwalk {

bool
ItemMirror::Apply(const WatchEvent& aChange)
{
  const std::int64_t changedAt = aChange.entry.modRevision;
  if (this->IsOutdated(changedAt)) {
    return false;
  }
  const auto known = this->items.find(aChange.entry.key);
  if (known == this->items.end()) {
    this->items.emplace(aChange.entry.key,
                        Item{ aChange, changedAt, changedAt });
  } else {
    Item& item = known->second;
    if (item.event.entry.modRevision >= changedAt) {
      return false;
    }
    this->tombstones -= item.event.deleted ? 1 : 0;
    // The return of a removed item is always of consequence.
    const bool bothPresent = !item.event.deleted && !aChange.deleted;
    item.previousContentRevision =
      bothPresent ? item.contentRevision : changedAt;
    item.contentRevision = changedAt;
    item.event = aChange;
  }
  this->tombstones += aChange.deleted ? 1 : 0;
  if (this->tombstones > kMaxTombstones) {
    this->DropTombstones();
  }
  return true;
}

bool
ItemMirror::IsOutdated(std::int64_t aRevision) const
{
  return IncarnationOf(aRevision) < IncarnationOf(this->revision);
}

void
ItemMirror::NoteSameContent(const std::string& aKey)
{
  const auto found = this->items.find(aKey);
  if (found != this->items.end()) {
    found->second.contentRevision = found->second.previousContentRevision;
  }
}

void
ItemMirror::DropValue(const std::string& aKey)
{
  const auto found = this->items.find(aKey);
  if (found != this->items.end()) {
    found->second.event.entry.value = std::string();
  }
}

void
ItemMirror::DropTombstones()
{
  std::vector<std::int64_t> revisions;
  for (const auto& [key, item] : this->items) {
    if (item.event.deleted) {
      revisions.push_back(item.event.entry.modRevision);
    }
  }
  const auto middle =
    revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  this->droppedUpTo = std::max(this->droppedUpTo, *middle);
  this->tombstones -= std::erase_if(this->items, [this](const auto& aItem) {
    const WatchEvent& event = aItem.second.event;
    return event.deleted && event.entry.modRevision <= this->droppedUpTo;
  });
}

std::vector<WatchEvent>
ItemMirror::Replace(const std::vector<KeyValueEntry>& aListing,
                    std::int64_t aRevision)
{
  std::vector<WatchEvent> changes;
  std::set<std::string> listed;
  for (const KeyValueEntry& entry : aListing) {
    listed.insert(entry.key);
    WatchEvent change{ false, entry };
    if (this->Apply(change)) {
      changes.push_back(std::move(change));
    }
  }
  std::vector<WatchEvent> removals;
  for (const auto& [key, item] : this->items) {
    if (!item.event.deleted && !listed.contains(key) &&
        item.event.entry.modRevision <= aRevision) {
      WatchEvent removal{ true, {} };
      removal.entry.key = key;
      removal.entry.modRevision = aRevision;
      removals.push_back(std::move(removal));
    }
  }
  for (WatchEvent& removal : removals) {
    // The exact revision of the removal is unknown, but not above the
    // listing's.
    removal.entry.modRevision = std::max(
      aRevision, this->items.at(removal.entry.key).event.entry.modRevision + 1);
    if (this->Apply(removal)) {
      changes.push_back(std::move(removal));
    }
  }
  this->NoteListing(aRevision);
  this->NoteRevision(aRevision);
  return changes;
}

void
ItemMirror::NoteListing(std::int64_t aRevision)
{
  if (aRevision > this->revision) {
    this->droppedUpTo = std::max(this->droppedUpTo, this->listedUpTo);
    this->listedFrom = this->revision;
    this->listedUpTo = aRevision;
  }
}

void
ItemMirror::NoteRevision(std::int64_t aRevision)
{
  this->revision = std::max(this->revision, aRevision);
}

std::optional<std::vector<WatchEvent>>
ItemMirror::ChangesSince(std::int64_t aRevision) const
{
  const bool isInGap =
    aRevision > this->listedFrom && aRevision < this->listedUpTo;
  if (aRevision < this->droppedUpTo || isInGap || this->IsOutdated(aRevision)) {
    return std::nullopt;
  }
  std::vector<WatchEvent> changes;
  for (const auto& [key, item] : this->items) {
    if (item.contentRevision > aRevision) {
      changes.push_back(item.event);
    }
  }
  std::sort(changes.begin(),
            changes.end(),
            [](const WatchEvent& aLeft, const WatchEvent& aRight) {
              return aLeft.entry.modRevision < aRight.entry.modRevision;
            });
  return changes;
}

const KeyValueEntry*
ItemMirror::Find(const std::string& aKey) const
{
  const auto found = this->items.find(aKey);
  const bool present =
    found != this->items.end() && !found->second.event.deleted;
  return present ? &found->second.event.entry : nullptr;
}

std::vector<KeyValueEntry>
ItemMirror::Items() const
{
  std::vector<KeyValueEntry> present;
  for (const auto& [key, item] : this->items) {
    if (!item.event.deleted) {
      present.push_back(item.event.entry);
    }
  }
  return present;
}

} // namespace wigeonwalk
