// Local copy of the registry's items, from which daemons without access to the
// registry can catch up.
//
//   if (mirror.Apply(event)) { ... the change is new ... }
//   mirror.NoteRevision(revision);
//   auto changes = mirror.ChangesSince(peerRevision);
#pragma once

#include "wigeonwalk/ports/key_value.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Keeps the newest known state of each key, with tombstones for removed keys. A
// change that is older than the key's known state is ignored, whoever reports
// it. Not thread-safe.
class ItemMirror
{
public:
  // Limit on tombstones of removed keys. Above it the older half is dropped; a
  // daemon that is further behind gets a full copy.
  static constexpr std::size_t kMaxTombstones = 4'096;

  // Applies one change. Returns true if it is newer than the key's known state
  // and not of an earlier incarnation than the known revision.
  bool Apply(const WatchEvent& aChange);

  // Records that the last change of a key was of no consequence, such as a
  // heartbeat: ChangesSince returns the item only for revisions before its last
  // change of consequence.
  void NoteSameContent(const std::string& aKey);

  // Drops the value of an item that can't be read: it is of no use to other
  // daemons, and may be as large as the registry allows.
  void DropValue(const std::string& aKey);

  // Applies a full listing that was read at `aRevision`. Returns the resulting
  // changes, including removals of older keys that are not listed.
  std::vector<WatchEvent> Replace(const std::vector<KeyValueEntry>& aListing,
                                  std::int64_t aRevision);

  // Records that all changes up to the revision have been applied.
  void NoteRevision(std::int64_t aRevision);
  std::int64_t Revision() const { return this->revision; }

  // Returns the changes after a revision, oldest first, or nothing if removals
  // after it may be missing (tombstones were dropped, or a listing skipped
  // them), or if it is of an earlier incarnation.
  std::optional<std::vector<WatchEvent>> ChangesSince(
    std::int64_t aRevision) const;

  // Returns the current item of a key, or null.
  const KeyValueEntry* Find(const std::string& aKey) const;

  // Returns all current items.
  std::vector<KeyValueEntry> Items() const;

private:
  struct Item
  {
    WatchEvent event;
    // Revisions of the last change of consequence, and of the one before it.
    std::int64_t contentRevision = 0;
    std::int64_t previousContentRevision = 0;
  };

  // Returns true if the revision is of an earlier incarnation than the known
  // one.
  bool IsOutdated(std::int64_t aRevision) const;
  void DropTombstones();
  void NoteListing(std::int64_t aRevision);

  std::map<std::string, Item> items;
  std::size_t tombstones = 0;
  std::int64_t revision = 0;
  // Tombstones up to this revision may be missing.
  std::int64_t droppedUpTo = 0;
  // The last listing and what was known before it. Keys that were written and
  // removed between these revisions are known here neither as items nor as
  // removed.
  std::int64_t listedFrom = 0;
  std::int64_t listedUpTo = 0;
};

} // namespace wigeonwalk
