// Upstreams that are leaving and must get no new requests.
//
//   leaving.Mark(upstream, incarnation);
//   if (leaving.IsLeaving(upstream, incarnation)) { ... skip it ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/retry/notice_queue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// States that an incarnation of an upstream, and all earlier ones, are leaving.
struct LeavingNotice
{
  UpstreamId upstream;
  std::uint64_t incarnation = 0;

  bool operator==(const LeavingNotice&) const = default;
};

// The set of leaving upstreams. An entry is permanent for its incarnation:
// neither the platform's host list, which may be out of date, nor another
// daemon can remove it; only a higher incarnation gets requests again. Not
// thread-safe.
class LeavingUpstreams
{
public:
  // Maximum number of entries; the oldest one is evicted. At 120 replaced
  // upstreams a day this lasts for more than a year.
  static constexpr std::size_t kMaxEntries = 65'536;

  // Marks an upstream as leaving. Returns true if that is new; a notice is then
  // queued for the other daemons.
  bool Mark(const UpstreamId& aUpstream, std::uint64_t aIncarnation);

  // Marks the hosts that the platform's host list shows as leaving. Returns the
  // number of new entries. Hosts that are listed as live are ignored.
  std::size_t MergeHostList(const std::vector<ListedHost>& aHosts);

  // Merges another daemon's notice. Returns true if it is new.
  bool MergeNotice(const LeavingNotice& aNotice);

  // Returns true if the incarnation must get no new requests.
  bool IsLeaving(const UpstreamId& aUpstream, std::uint64_t aIncarnation) const;

  // Returns the marked incarnation of an upstream, if any.
  std::optional<std::uint64_t> MarkOf(const UpstreamId& aUpstream) const;

  // Removes the mark of an upstream that no longer exists.
  void Forget(const UpstreamId& aUpstream);

  // Returns all marks, in no particular order.
  std::vector<LeavingNotice> All() const;

  // Returns up to `aMaxCount` notices for the next message to another daemon.
  std::vector<LeavingNotice> TakeNotices(std::size_t aMaxCount);

  std::size_t Size() const { return this->entries.size(); }

private:
  struct LeavingIncarnation
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  void EvictOldest();

  std::unordered_map<UpstreamId, LeavingIncarnation> entries;
  std::uint64_t nextSequence = 0;
  NoticeQueue<LeavingNotice> notices;
};

} // namespace wigeonwalk
