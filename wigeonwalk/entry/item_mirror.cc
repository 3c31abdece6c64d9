#include "wigeonwalk/entry/item_mirror.h"

#include <algorithm>
#include <set>

namespace wigeonwalk {

bool
ItemMirror::Apply(const WatchEvent& aChange)
{
  const auto known = this->items.find(aChange.entry.key);
  if (known == this->items.end()) {
    this->items.emplace(aChange.entry.key, aChange);
  } else {
    if (known->second.entry.modRevision >= aChange.entry.modRevision) {
      return false;
    }
    this->tombstones -= known->second.deleted ? 1 : 0;
    known->second = aChange;
  }
  this->tombstones += aChange.deleted ? 1 : 0;
  if (this->tombstones > kMaxTombstones) {
    this->DropTombstones();
  }
  return true;
}

void
ItemMirror::DropTombstones()
{
  std::vector<std::int64_t> revisions;
  for (const auto& [key, item] : this->items) {
    if (item.deleted) {
      revisions.push_back(item.entry.modRevision);
    }
  }
  const auto middle =
    revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  this->droppedUpTo = std::max(this->droppedUpTo, *middle);
  this->tombstones -= std::erase_if(this->items, [this](const auto& aItem) {
    return aItem.second.deleted &&
           aItem.second.entry.modRevision <= this->droppedUpTo;
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
    if (!item.deleted && !listed.contains(key) &&
        item.entry.modRevision <= aRevision) {
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
      aRevision, this->items.at(removal.entry.key).entry.modRevision + 1);
    if (this->Apply(removal)) {
      changes.push_back(std::move(removal));
    }
  }
  this->NoteRevision(aRevision);
  return changes;
}

void
ItemMirror::NoteRevision(std::int64_t aRevision)
{
  this->revision = std::max(this->revision, aRevision);
}

std::optional<std::vector<WatchEvent>>
ItemMirror::ChangesSince(std::int64_t aRevision) const
{
  if (aRevision < this->droppedUpTo) {
    return std::nullopt;
  }
  std::vector<WatchEvent> changes;
  for (const auto& [key, item] : this->items) {
    if (item.entry.modRevision > aRevision) {
      changes.push_back(item);
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
  const bool present = found != this->items.end() && !found->second.deleted;
  return present ? &found->second.entry : nullptr;
}

std::vector<KeyValueEntry>
ItemMirror::Items() const
{
  std::vector<KeyValueEntry> present;
  for (const auto& [key, item] : this->items) {
    if (!item.deleted) {
      present.push_back(item.entry);
    }
  }
  return present;
}

} // namespace wigeonwalk
