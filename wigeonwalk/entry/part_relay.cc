#include "wigeonwalk/entry/part_relay.h"

#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

bool
HolderFollowers::IsFollower(const HostId& aHost) const
{
  const auto found = std::find(this->ranked.begin(), this->ranked.end(), aHost);
  return found == this->ranked.end() ||
         found - this->ranked.begin() <
           static_cast<std::ptrdiff_t>(this->following);
}

std::vector<HostId>
HolderFollowers::ReceiversOf(const HostId& aFollower) const
{
  const auto count = std::min(this->following, this->ranked.size());
  const auto first = this->ranked.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<HostId> followers(this->ranked.begin(), first);
  std::vector<HostId> sentChanges;
  std::copy_if(first,
               this->ranked.end(),
               std::back_inserter(sentChanges),
               [&](const HostId& aHost) {
                 return IsOwner(aHost.Text(), aFollower, followers, 1);
               });
  return sentChanges;
}

void
PartRelay::Add(const HeldParts& aParts, const HolderFollowers& aFollowers)
{
  if (aFollowers.ranked.size() <= aFollowers.following) {
    return;
  }
  HeldParts& reports = this->pending[aParts.holder];
  if (reports.holder.Empty() || reports.epoch != aParts.epoch) {
    reports = { aParts.holder, aParts.epoch, {} };
  }
  for (const HeldPart& change : aParts.changes) {
    const std::uint32_t before =
      this->state.parts.TokensAt(aParts.holder, change.part);
    if (std::max(before, change.tokens) < kMinForwardedTokens) {
      continue;
    }
    std::erase_if(reports.changes, [&change](const HeldPart& aOther) {
      return aOther.part == change.part;
    });
    reports.changes.push_back(change);
  }
}

std::map<HostId, std::vector<HeldParts>>
PartRelay::TakePending(const std::map<UpstreamId, HolderFollowers>& aFollowers)
{
  std::map<HostId, std::vector<HeldParts>> byHost;
  const HostId& self = this->state.Settings().host;
  for (const auto& [holder, parts] : this->pending) {
    const auto found = aFollowers.find(holder);
    if (found == aFollowers.end()) {
      continue;
    }
    for (const HostId& host : found->second.ReceiversOf(self)) {
      byHost[host].push_back(parts);
    }
  }
  this->pending.clear();
  return byHost;
}

std::vector<std::vector<HeldParts>>
PartRelay::SplitIntoDatagrams(const std::vector<HeldParts>& aParts)
{
  std::vector<std::vector<HeldParts>> messages(1);
  std::size_t rows = 0;
  for (const HeldParts& all : aParts) {
    std::size_t sentChanges = 0;
    do {
      if (rows + kHolderRows >= kMaxRows) {
        messages.emplace_back();
        rows = 0;
      }
      const std::size_t count = std::min(kMaxRows - kHolderRows - rows,
                                         all.changes.size() - sentChanges);
      const auto first =
        all.changes.begin() + static_cast<std::ptrdiff_t>(sentChanges);
      messages.back().push_back(
        { all.holder,
          all.epoch,
          { first, first + static_cast<std::ptrdiff_t>(count) } });
      sentChanges += count;
      rows += count + kHolderRows;
    } while (sentChanges < all.changes.size());
  }
  return messages;
}

} // namespace wigeonwalk
