#include "wigeonwalk/retry/leaving_upstreams.h"

#include <algorithm>

namespace wigeonwalk {

bool
LeavingUpstreams::Mark(const UpstreamId& aUpstream, std::uint64_t aIncarnation)
{
  if (this->IsLeaving(aUpstream, aIncarnation)) {
    return false;
  }
  if (this->entries.size() >= kMaxEntries) {
    this->EvictOldest();
  }
  this->entries[aUpstream] = { aIncarnation, this->nextSequence++ };
  this->notices.Add({ aUpstream, aIncarnation });
  return true;
}

std::size_t
LeavingUpstreams::MergeHostList(const std::vector<ListedHost>& aHosts)
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
LeavingUpstreams::MergeNotice(const LeavingNotice& aNotice)
{
  return this->Mark(aNotice.upstream, aNotice.incarnation);
}

bool
LeavingUpstreams::IsLeaving(const UpstreamId& aUpstream,
                            std::uint64_t aIncarnation) const
{
  const auto found = this->entries.find(aUpstream);
  return found != this->entries.end() &&
         aIncarnation <= found->second.incarnation;
}

std::optional<std::uint64_t>
LeavingUpstreams::MarkOf(const UpstreamId& aUpstream) const
{
  const auto found = this->entries.find(aUpstream);
  return found == this->entries.end()
           ? std::nullopt
           : std::optional(found->second.incarnation);
}

void
LeavingUpstreams::Forget(const UpstreamId& aUpstream)
{
  this->entries.erase(aUpstream);
}

std::vector<LeavingNotice>
LeavingUpstreams::All() const
{
  std::vector<LeavingNotice> all;
  for (const auto& [upstream, entry] : this->entries) {
    all.push_back({ upstream, entry.incarnation });
  }
  return all;
}

std::vector<LeavingNotice>
LeavingUpstreams::TakeNotices(std::size_t aMaxCount)
{
  return this->notices.Take(aMaxCount);
}

void
LeavingUpstreams::EvictOldest()
{
  const auto oldest =
    std::min_element(this->entries.begin(),
                     this->entries.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.sequence < aRight.second.sequence;
                     });
  this->entries.erase(oldest);
}

} // namespace wigeonwalk
