#include "wigeonwalk/retry/leaving_marks.h"

#include <algorithm>

namespace wigeonwalk {

bool
LeavingMarks::Mark(const UpstreamId& aUpstream, std::uint64_t aIncarnation)
{
  if (this->IsLeaving(aUpstream, aIncarnation)) {
    return false;
  }
  if (this->marks.size() >= kMaxMarks) {
    this->DropOldest();
  }
  this->marks[aUpstream] = { aIncarnation, this->nextOrder++ };
  this->notices.Add({ aUpstream, aIncarnation });
  return true;
}

std::size_t
LeavingMarks::MergeList(const std::vector<ListedHost>& aHosts)
{
  std::size_t added = 0;
  for (const ListedHost& host : aHosts) {
    if (host.status == HostStatus::Leaving &&
        this->Mark(UpstreamId(host.name), host.incarnation)) {
      ++added;
    }
  }
  return added;
}

bool
LeavingMarks::MergeNotice(const LeavingNotice& aNotice)
{
  return this->Mark(aNotice.upstream, aNotice.incarnation);
}

bool
LeavingMarks::IsLeaving(const UpstreamId& aUpstream,
                        std::uint64_t aIncarnation) const
{
  const auto found = this->marks.find(aUpstream);
  return found != this->marks.end() &&
         aIncarnation <= found->second.incarnation;
}

std::vector<LeavingNotice>
LeavingMarks::TakeNotices(std::size_t aMost)
{
  return this->notices.Take(aMost);
}

void
LeavingMarks::DropOldest()
{
  const auto oldest =
    std::min_element(this->marks.begin(),
                     this->marks.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.order < aRight.second.order;
                     });
  this->marks.erase(oldest);
}

} // namespace wigeonwalk
