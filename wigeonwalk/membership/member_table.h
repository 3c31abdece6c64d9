// What a daemon believes of all daemons, and the rules for merging beliefs.
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

// What a merge changed.
enum class MergeOutcome
{
  // The update said nothing new.
  Ignored,
  // A daemon that was unknown, lost or left is alive.
  Joined,
  // The state or the incarnation of a known daemon changed.
  Changed,
  // The update accused this daemon, which raised its incarnation.
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

// One daemon as this one believes it to be.
struct Member
{
  MemberUpdate update;
  // When it entered its state.
  TimePoint since;
  // When it counts as lost, while it is suspected.
  TimePoint suspectedUntil;
};

// Returns true where `aNew` overrides `aOld`: a higher incarnation always does,
// at the same incarnation a later state does.
bool
Overrides(const MemberUpdate& aNew, const MemberUpdate& aOld);

// Returns how long a suspicion lasts among n members: 4 × log10(n + 1) seconds,
// at least 3 s. It grows with n because a refutation needs that many more
// rounds of gossip to reach everyone.
Duration
SuspicionTime(std::size_t aMembers);

// Members with their states, and the updates still to be passed on. Suspected
// members count as live, so that a false suspicion moves no shard. One thread
// only.
class MemberTable
{
public:
  // Lost members are retried, then dropped after this time.
  static constexpr Duration kForgetLost = std::chrono::hours(24);
  // Left members are kept so that late gossip does not revive them.
  static constexpr Duration kForgetLeft = std::chrono::hours(1);
  // Ten times the target size; guards memory against a faulty peer.
  static constexpr std::size_t kMaxMembers = 3'500;

  explicit MemberTable(MemberUpdate aSelf);

  const MemberUpdate& Self() const { return this->self; }

  // Adds a daemon known from settings or the host list. Its incarnation is
  // unknown (zero), so whatever it says itself overrides this.
  void AddSeed(const MemberUpdate& aSeed, TimePoint aNow);

  // Merges what another daemon says.
  MergeOutcome Merge(const MemberUpdate& aUpdate, TimePoint aNow);

  // Suspects a live member. Returns false where it is not live.
  bool Suspect(const HostId& aHost, TimePoint aNow);

  // Moves members whose suspicion has run out to Lost, and returns them.
  std::vector<MemberUpdate> ExpireSuspicions(TimePoint aNow);

  // Gives every suspected member its full time again.
  void RestartSuspicions(TimePoint aNow);

  // Drops members that were lost or left long ago.
  void Forget(TimePoint aNow);

  // Marks this daemon as leaving. It refutes nothing afterwards.
  void Leave();

  // Returns up to aLimit updates for a datagram to aReceiver: first whatever
  // the receiver should refute, then those sent least often.
  std::vector<MemberUpdate> TakeUpdates(std::size_t aLimit,
                                        const HostId& aReceiver);

  const Member* Find(const HostId& aHost) const;
  const std::map<HostId, Member>& Others() const { return this->members; }

  // Live members with this daemon, in order of host.
  std::vector<HostId> LiveHosts() const;
  // Live members of a zone with this daemon where it is in that zone.
  std::vector<HostId> LiveHostsIn(const AvailabilityZone& aZone) const;
  std::size_t LiveCount() const { return this->live + 1; }
  std::size_t LostCount() const { return this->lost; }

  // All that is known, with this daemon.
  std::vector<MemberUpdate> Snapshot() const;

  // Rises whenever the set of live members changes.
  std::uint64_t LiveVersion() const { return this->liveVersion; }

private:
  MergeOutcome MergeSelf(const MemberUpdate& aUpdate);
  MergeOutcome Insert(const MemberUpdate& aUpdate, TimePoint aNow);
  void SetState(Member& aMember, const MemberUpdate& aUpdate, TimePoint aNow);
  void Count(MemberState aState, int aChange);
  void Enqueue(const HostId& aHost);
  const MemberUpdate* Known(const HostId& aHost) const;

  struct Pending
  {
    HostId host;
    std::size_t sent = 0;
  };

  MemberUpdate self;
  std::map<HostId, Member> members;
  std::vector<Pending> pending;
  std::size_t live = 0;
  std::size_t lost = 0;
  std::uint64_t liveVersion = 0;
};

} // namespace wigeonwalk
