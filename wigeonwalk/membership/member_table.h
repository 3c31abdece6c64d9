// A daemon's view of the state of all daemons, and the rules for merging
// updates into it.
//
//   MemberTable table(self);
//   MergeOutcome outcome = table.Merge(update, now);
//   for (const MemberUpdate& lost : table.ExpireSuspicions(now)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/peer_messages.h"

#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Result of merging an update.
enum class MergeOutcome
{
  // The update contained nothing new.
  Ignored,
  // A daemon that was unknown or lost, or had left, is live now.
  Joined,
  // The state or the incarnation of a known daemon changed.
  Changed,
  // The update overrode this daemon's own state, so this daemon refuted it by
  // raising its incarnation.
  Refuted,
};

template<>
struct EnumNames<MergeOutcome>
{
  static constexpr std::array<EnumName<MergeOutcome>, 4> kTable{ {
    { MergeOutcome::Ignored, "ignored" },
    { MergeOutcome::Joined, "joined" },
    { MergeOutcome::Changed, "changed" },
    { MergeOutcome::Refuted, "refuted" },
  } };
};
static_assert(HasCompleteTable<MergeOutcome>());

// The state of another daemon as seen by this one.
struct Member
{
  MemberUpdate update;
  // When the daemon entered its state.
  TimePoint stateSince;
  // While the daemon is suspected, the time at which it becomes lost.
  TimePoint suspicionDeadline;
};

// Returns true if `aNew` overrides `aOld`: its incarnation is higher, or the
// incarnation is the same and its state comes later in the enumeration.
bool
Overrides(const MemberUpdate& aNew, const MemberUpdate& aOld);

// Returns the duration of a suspicion among n members: 4 × log10(n + 1)
// seconds, but at least 3 s. It grows with the logarithm of n like the number
// of gossip rounds that a refutation needs to reach all members.
Duration
SuspicionTime(std::size_t aMembers);

// Members with their states, and the queue of updates to disseminate. Suspected
// members count as live, so that a false suspicion moves no shard. Not
// thread-safe.
class MemberTable
{
public:
  // Lost members are probed for this time and then removed.
  static constexpr Duration kLostRetention = std::chrono::hours(24);
  // Members that left are kept for this time, so that late gossip does not
  // revive them.
  static constexpr Duration kLeftRetention = std::chrono::hours(1);
  // Ten times the target size; limits the memory that a faulty peer can
  // consume.
  static constexpr std::size_t kMaxMembers = 3'500;

  explicit MemberTable(MemberUpdate aSelf);

  const MemberUpdate& Self() const { return this->self; }

  // Adds a daemon known from settings or the host list. Its incarnation is set
  // to zero (unknown), so that any update from the daemon itself overrides it.
  void AddSeed(const MemberUpdate& aSeed, TimePoint aNow);

  // Merges an update received from another daemon.
  MergeOutcome Merge(const MemberUpdate& aUpdate, TimePoint aNow);

  // Marks an alive member as suspected. Returns false if it is not alive.
  bool Suspect(const HostId& aHost, TimePoint aNow);

  // Marks members whose suspicion has expired as lost, and returns them.
  std::vector<MemberUpdate> ExpireSuspicions(TimePoint aNow);

  // Restarts the suspicion time of every suspected member.
  void RestartSuspicions(TimePoint aNow);

  // Removes members that were lost or left longer ago than they are kept.
  void Forget(TimePoint aNow);

  // Marks this daemon as left. It refutes no updates afterwards.
  void Leave();

  // Returns up to aLimit updates for a datagram to aReceiver: first a suspicion
  // or loss that the receiver should refute, then the updates sent least often.
  std::vector<MemberUpdate> TakeUpdates(std::size_t aLimit,
                                        const HostId& aReceiver);

  const Member* Find(const HostId& aHost) const;
  const std::map<HostId, Member>& Others() const { return this->members; }

  // Live members including this daemon, sorted by host.
  std::vector<HostId> LiveHosts() const;
  // Live members of a zone, including this daemon if it is in that zone.
  std::vector<HostId> LiveHostsIn(const AvailabilityZone& aZone) const;
  std::size_t LiveCount() const { return this->live + 1; }
  std::size_t LostCount() const { return this->lost; }

  // The state of all known daemons, including this one.
  std::vector<MemberUpdate> Snapshot() const;

  // Incremented whenever the set of live members changes.
  std::uint64_t LiveVersion() const { return this->liveVersion; }

private:
  MergeOutcome MergeSelf(const MemberUpdate& aUpdate);
  MergeOutcome Insert(const MemberUpdate& aUpdate, TimePoint aNow);
  void SetState(Member& aMember, const MemberUpdate& aUpdate, TimePoint aNow);
  void Count(MemberState aState, int aChange);
  void Enqueue(const HostId& aHost);
  const MemberUpdate* FindIncludingSelf(const HostId& aHost) const;

  struct QueuedUpdate
  {
    HostId host;
    std::size_t timesSent = 0;
  };

  MemberUpdate self;
  std::map<HostId, Member> members;
  std::vector<QueuedUpdate> queuedUpdates;
  std::size_t live = 0;
  std::size_t lost = 0;
  std::uint64_t liveVersion = 0;
};

} // namespace wigeonwalk
