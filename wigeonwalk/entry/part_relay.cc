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
HolderFollowers::ToldBy(const HostId& aFollower) const
{
  const auto count = std::min(this->following, this->ranked.size());
  const auto first = this->ranked.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<HostId> followers(this->ranked.begin(), first);
  std::vector<HostId> told;
  std::copy_if(first,
               this->ranked.end(),
               std::back_inserter(told),
               [&](const HostId& aHost) {
                 return IsOwner(aHost.Text(), aFollower, followers, 1);
               });
  return told;
}

void
PartRelay::Keep(const HeldParts& aParts, const HolderFollowers& aFollowers)
{
  if (aFollowers.ranked.size() <= aFollowers.following) {
    return;
  }
  HeldParts& some = this->kept[aParts.holder];
  if (some.holder.Empty() || some.epoch != aParts.epoch) {
    some = { aParts.holder, aParts.epoch, {} };
  }
  for (const HeldPart& change : aParts.changes) {
    const std::uint32_t before =
      this->state.parts.TokensAt(aParts.holder, change.part);
    if (std::max(before, change.tokens) < kLeastTokens) {
      continue;
    }
    std::erase_if(some.changes, [&change](const HeldPart& aOther) {
      return aOther.part == change.part;
    });
    some.changes.push_back(change);
  }
}

std::map<HostId, std::vector<HeldParts>>
PartRelay::Take(const std::map<UpstreamId, HolderFollowers>& aFollowers)
{
  std::map<HostId, std::vector<HeldParts>> byHost;
  const HostId& self = this->state.Settings().host;
  for (const auto& [holder, parts] : this->kept) {
    const auto found = aFollowers.find(holder);
    if (found == aFollowers.end()) {
      continue;
    }
    for (const HostId& host : found->second.ToldBy(self)) {
      byHost[host].push_back(parts);
    }
  }
  this->kept.clear();
  return byHost;
}

std::vector<std::vector<HeldParts>>
PartRelay::Divide(const std::vector<HeldParts>& aParts)
{
  std::vector<std::vector<HeldParts>> messages(1);
  std::size_t rows = 0;
  for (const HeldParts& all : aParts) {
    std::size_t told = 0;
    do {
      if (rows + kHolderRows >= kMostRows) {
        messages.emplace_back();
        rows = 0;
      }
      const std::size_t count =
        std::min(kMostRows - kHolderRows - rows, all.changes.size() - told);
      const auto first =
        all.changes.begin() + static_cast<std::ptrdiff_t>(told);
      messages.back().push_back(
        { all.holder,
          all.epoch,
          { first, first + static_cast<std::ptrdiff_t>(count) } });
      told += count;
      rows += count + kHolderRows;
    } while (told < all.changes.size());
  }
  return messages;
}

} // namespace wigeonwalk
