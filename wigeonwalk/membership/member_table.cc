#include "wigeonwalk/membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonwalk {
namespace {

bool
IsLive(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

// Returns how many times one daemon sends an update. Each daemon sends about
// two datagrams a second; then four transmissions per factor of ten in the
// number of members reach all members with high probability, and later probes
// inform the rest.
std::size_t
Retransmissions(std::size_t aMembers)
{
  const double decades =
    std::ceil(std::log10(static_cast<double>(aMembers) + 1));
  return 4 * static_cast<std::size_t>(std::max(1.0, decades));
}

} // namespace

bool
Overrides(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aNew.incarnation != aOld.incarnation) {
    return aNew.incarnation > aOld.incarnation;
  }
  return aNew.state > aOld.state;
}

Duration
SuspicionTime(std::size_t aMembers)
{
  const double seconds = 4 * std::log10(static_cast<double>(aMembers) + 1);
  return FromSeconds(std::max(3.0, seconds));
}

MemberTable::MemberTable(MemberUpdate aSelf)
  : self(std::move(aSelf))
{
}

void
MemberTable::AddSeed(const MemberUpdate& aSeed, TimePoint aNow)
{
  if (aSeed.host == this->self.host || this->members.contains(aSeed.host)) {
    return;
  }
  MemberUpdate seed = aSeed;
  seed.incarnation = 0;
  seed.state = MemberState::Alive;
  this->members.emplace(seed.host, Member{ seed, aNow, {} });
  this->Count(MemberState::Alive, 1);
  this->liveVersion += 1;
}

MergeOutcome
MemberTable::Merge(const MemberUpdate& aUpdate, TimePoint aNow)
{
  if (aUpdate.host == this->self.host) {
    return this->MergeSelf(aUpdate);
  }
  const auto found = this->members.find(aUpdate.host);
  if (found == this->members.end()) {
    return this->Insert(aUpdate, aNow);
  }
  Member& member = found->second;
  if (!Overrides(aUpdate, member.update)) {
    return MergeOutcome::Ignored;
  }
  const bool wasLive = IsLive(member.update.state);
  this->SetState(member, aUpdate, aNow);
  return !wasLive && IsLive(aUpdate.state) ? MergeOutcome::Joined
                                           : MergeOutcome::Changed;
}

MergeOutcome
MemberTable::MergeSelf(const MemberUpdate& aUpdate)
{
  if (this->self.state == MemberState::Left) {
    return MergeOutcome::Ignored;
  }
  if (!Overrides(aUpdate, this->self)) {
    return MergeOutcome::Ignored;
  }
  this->self.incarnation = aUpdate.incarnation + 1;
  this->Enqueue(this->self.host);
  return MergeOutcome::Refuted;
}

MergeOutcome
MemberTable::Insert(const MemberUpdate& aUpdate, TimePoint aNow)
{
  if (this->members.size() >= kMaxMembers) {
    return MergeOutcome::Ignored;
  }
  Member member{ aUpdate, aNow, aNow + SuspicionTime(this->LiveCount()) };
  this->members.emplace(aUpdate.host, std::move(member));
  this->Count(aUpdate.state, 1);
  this->liveVersion += IsLive(aUpdate.state) ? 1 : 0;
  this->Enqueue(aUpdate.host);
  return IsLive(aUpdate.state) ? MergeOutcome::Joined : MergeOutcome::Changed;
}

void
MemberTable::SetState(Member& aMember,
                      const MemberUpdate& aUpdate,
                      TimePoint aNow)
{
  this->Count(aMember.update.state, -1);
  if (IsLive(aMember.update.state) != IsLive(aUpdate.state)) {
    this->liveVersion += 1;
  }
  aMember.update = aUpdate;
  aMember.stateSince = aNow;
  this->Count(aUpdate.state, 1);
  aMember.suspicionDeadline = aNow + SuspicionTime(this->LiveCount());
  this->Enqueue(aUpdate.host);
}

void
MemberTable::Count(MemberState aState, int aChange)
{
  const auto change = static_cast<std::size_t>(aChange);
  if (IsLive(aState)) {
    this->live += change;
  } else if (aState == MemberState::Lost) {
    this->lost += change;
  }
}

bool
MemberTable::Suspect(const HostId& aHost, TimePoint aNow)
{
  const auto found = this->members.find(aHost);
  if (found == this->members.end() ||
      found->second.update.state != MemberState::Alive) {
    return false;
  }
  MemberUpdate update = found->second.update;
  update.state = MemberState::Suspect;
  this->SetState(found->second, update, aNow);
  return true;
}

std::vector<MemberUpdate>
MemberTable::ExpireSuspicions(TimePoint aNow)
{
  std::vector<MemberUpdate> expired;
  for (auto& [host, member] : this->members) {
    if (member.update.state != MemberState::Suspect ||
        member.suspicionDeadline > aNow) {
      continue;
    }
    MemberUpdate update = member.update;
    update.state = MemberState::Lost;
    this->SetState(member, update, aNow);
    expired.push_back(std::move(update));
  }
  return expired;
}

void
MemberTable::RestartSuspicions(TimePoint aNow)
{
  for (auto& [host, member] : this->members) {
    member.suspicionDeadline = aNow + SuspicionTime(this->LiveCount());
  }
}

void
MemberTable::Forget(TimePoint aNow)
{
  std::erase_if(this->members, [&](const auto& aItem) {
    const Member& member = aItem.second;
    const MemberState state = member.update.state;
    const bool forget = (state == MemberState::Lost &&
                         member.stateSince + kLostRetention <= aNow) ||
                        (state == MemberState::Left &&
                         member.stateSince + kLeftRetention <= aNow);
    if (forget) {
      this->Count(state, -1);
    }
    return forget;
  });
}

void
MemberTable::Leave()
{
  this->self.state = MemberState::Left;
  this->Enqueue(this->self.host);
}

void
MemberTable::Enqueue(const HostId& aHost)
{
  const auto found = std::find_if(
    this->queuedUpdates.begin(),
    this->queuedUpdates.end(),
    [&](const QueuedUpdate& aItem) { return aItem.host == aHost; });
  if (found != this->queuedUpdates.end()) {
    found->timesSent = 0;
    return;
  }
  this->queuedUpdates.push_back({ aHost, 0 });
}

std::vector<MemberUpdate>
MemberTable::TakeUpdates(std::size_t aLimit, const HostId& aReceiver)
{
  std::vector<MemberUpdate> updates;
  const Member* receiver = this->Find(aReceiver);
  if (receiver && receiver->update.state != MemberState::Alive) {
    updates.push_back(receiver->update);
  }
  const std::size_t room = aLimit - std::min(aLimit, updates.size());
  const std::size_t count = std::min(room, this->queuedUpdates.size());
  std::partial_sort(this->queuedUpdates.begin(),
                    this->queuedUpdates.begin() +
                      static_cast<std::ptrdiff_t>(count),
                    this->queuedUpdates.end(),
                    [](const QueuedUpdate& aLeft, const QueuedUpdate& aRight) {
                      return aLeft.timesSent < aRight.timesSent;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    QueuedUpdate& item = this->queuedUpdates[i];
    item.timesSent += 1;
    const MemberUpdate* update = this->FindIncludingSelf(item.host);
    if (update && item.host != aReceiver) {
      updates.push_back(*update);
    }
  }
  const std::size_t limit = Retransmissions(this->LiveCount());
  std::erase_if(this->queuedUpdates, [&](const QueuedUpdate& aItem) {
    return aItem.timesSent >= limit;
  });
  return updates;
}

const MemberUpdate*
MemberTable::FindIncludingSelf(const HostId& aHost) const
{
  if (aHost == this->self.host) {
    return &this->self;
  }
  const Member* member = this->Find(aHost);
  return member ? &member->update : nullptr;
}

const Member*
MemberTable::Find(const HostId& aHost) const
{
  const auto found = this->members.find(aHost);
  return found == this->members.end() ? nullptr : &found->second;
}

std::vector<HostId>
MemberTable::LiveHosts() const
{
  std::vector<HostId> hosts{ this->self.host };
  for (const auto& [host, member] : this->members) {
    if (IsLive(member.update.state)) {
      hosts.push_back(host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::vector<HostId>
MemberTable::LiveHostsIn(const AvailabilityZone& aZone) const
{
  std::vector<HostId> hosts;
  if (this->self.zone == aZone) {
    hosts.push_back(this->self.host);
  }
  for (const auto& [host, member] : this->members) {
    if (IsLive(member.update.state) && member.update.zone == aZone) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<MemberUpdate>
MemberTable::Snapshot() const
{
  std::vector<MemberUpdate> all{ this->self };
  for (const auto& [host, member] : this->members) {
    all.push_back(member.update);
  }
  return all;
}

} // namespace wigeonwalk
