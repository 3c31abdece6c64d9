// What other daemons have at runners, from their announcements of long prompts.
//
//   bookings.Book(daemon, { runner, tokens, requests, until });
//   for (const PeerBooking& booking : bookings.All(now)) { ... }
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace wigeonwalk {

// Long prompts of one daemon at one runner. They may stand for those of several
// daemons if only a part of them is heard.
struct PeerBooking
{
  UpstreamId runner;
  // Memory of the runner, in tokens.
  std::uint64_t tokens = 0;
  std::uint32_t requests = 0;
  // When it counts no more unless it was told again.
  TimePoint until;

  bool operator==(const PeerBooking&) const = default;
};

// Answers many daemons that fill the same runners between two reports of their
// loads: a daemon reports to a few others only, and a long prompt takes a fifth
// of a runner's memory, so that the runner preempts runs that it has to compute
// again. All that is told is absolute, so that a lost message is made good by
// the next one about the same runner. Not thread-safe.
class PeerBookings
{
public:
  // Further bookings are ignored: a daemon that announces without end must not
  // take the memory.
  static constexpr std::size_t kMaxBookings = 4'096;

  // Replaces what the daemon has at this runner; no requests remove it. Returns
  // what it replaced, or a booking of no requests.
  PeerBooking Book(const HostId& aDaemon, PeerBooking aBooking);

  // A report of the daemon says all that it has at runners.
  void NoteReport(const HostId& aDaemon);

  // Forgets the daemons that are not among `aMembers`.
  template<typename Members>
  void KeepOnly(const Members& aMembers)
  {
    std::erase_if(this->byDaemon, [&aMembers](const auto& aEntry) {
      return !aMembers.contains(aEntry.first);
    });
  }

  // Returns the bookings that have not ended; the others are dropped.
  std::vector<PeerBooking> All(TimePoint aNow);

private:
  using ByRunner = std::map<UpstreamId, PeerBooking>;

  std::size_t Count() const;

  std::map<HostId, ByRunner> byDaemon;
};

// Returns for how many announcements one stands, if `aHeard` of `aDaemons`
// other daemons announce to this one. At least one.
std::uint32_t
AnnouncementsOf(std::size_t aDaemons, std::size_t aHeard);

} // namespace wigeonwalk
