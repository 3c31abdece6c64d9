// Leaving marks: which upstreams must get no new work.
//
//   marks.Mark(upstream, incarnation);
//   if (marks.IsLeaving(upstream, incarnation)) { ... skip the candidate ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/retry/notice_queue.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Says that an incarnation of an upstream, and all earlier ones, are leaving.
struct LeavingNotice
{
  UpstreamId upstream;
  std::uint64_t incarnation = 0;

  bool operator==(const LeavingNotice&) const = default;
};

// Remembers marks. A mark is permanent for its incarnation: neither the
// platform's lagging list nor another daemon can take it back; only a higher
// incarnation is free of it. One thread only.
class LeavingMarks
{
public:
  // Most marks kept; the oldest is dropped. At 120 replaced upstreams a day
  // this is more than a year of marks.
  static constexpr std::size_t kMaxMarks = 65'536;

  // Marks an upstream. Returns true where the mark is new; it is then also
  // queued for the other daemons.
  bool Mark(const UpstreamId& aUpstream, std::uint64_t aIncarnation);

  // Takes over what the platform's list says is leaving. Returns the number of
  // new marks. Rows that are live change nothing.
  std::size_t MergeList(const std::vector<ListedHost>& aHosts);

  // Takes over another daemon's notice. Returns true where it is new.
  bool MergeNotice(const LeavingNotice& aNotice);

  // Returns true where the incarnation must get no new work.
  bool IsLeaving(const UpstreamId& aUpstream, std::uint64_t aIncarnation) const;

  // Returns notices for the next message to another daemon.
  std::vector<LeavingNotice> TakeNotices(std::size_t aMost);

  std::size_t Size() const { return this->marks.size(); }

private:
  struct MarkedIncarnation
  {
    std::uint64_t incarnation = 0;
    std::uint64_t order = 0;
  };

  void DropOldest();

  std::unordered_map<UpstreamId, MarkedIncarnation> marks;
  std::uint64_t nextOrder = 0;
  NoticeQueue<LeavingNotice> notices;
};

} // namespace wigeonwalk
