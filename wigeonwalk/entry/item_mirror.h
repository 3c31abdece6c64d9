// A copy of the registry's items, by which daemons bring each other up to date.
//
//   if (mirror.Apply(event)) { ... the change is news ... }
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

// Keeps the newest state of each key. A change that is older than what is known
// of its key never takes effect, whoever reports it. One thread only.
class ItemMirror
{
public:
  // Removed keys that are remembered; beyond it, a daemon that is behind gets
  // a full copy.
  static constexpr std::size_t kMostRemoved = 4'096;

  // Takes over one change. Returns true where it is newer than what is known.
  bool Apply(const WatchEvent& aChange);

  // Takes over a whole listing that was read at a revision. Returns what it
  // changed, removals of keys that it does not list included.
  std::vector<WatchEvent> Replace(const std::vector<KeyValueEntry>& aListing,
                                  std::int64_t aRevision);

  // All changes up to the revision are known.
  void NoteRevision(std::int64_t aRevision);
  std::int64_t Revision() const { return this->revision; }

  // Returns the changes after a revision, oldest first, or nothing where some
  // removals after it are forgotten.
  std::optional<std::vector<WatchEvent>> ChangesSince(
    std::int64_t aRevision) const;

  // Returns the present item of a key, or null.
  const KeyValueEntry* Find(const std::string& aKey) const;

  // Returns all present items.
  std::vector<KeyValueEntry> Items() const;

private:
  void Forget();

  std::map<std::string, WatchEvent> items;
  std::size_t removed = 0;
  std::int64_t revision = 0;
  // Removals up to this revision may be forgotten.
  std::int64_t forgottenUpTo = 0;
};

} // namespace wigeonwalk
