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

// Long prompts at one runner. One announcement stands for several prompts if
// only a part of the daemons is heard.
struct PeerBooking
{
  UpstreamId runner;
  // Memory of the runner, in tokens.
  std::uint64_t tokens = 0;
  std::uint32_t requests = 1;
  // When the runs are expected to have ended.
  TimePoint until;

  bool operator==(const PeerBooking&) const = default;
};

// Answers many daemons that fill the same runners between two reports of their
// loads: a daemon reports to a few others only, and a long prompt takes a fifth
// of a runner's memory, so that the runner preempts runs that it has to compute
// again. Each daemon books what the others announce for as long as such runs
// take. Not thread-safe.
class PeerBookings
{
public:
  // Further bookings are ignored: a daemon that announces without end must not
  // take the memory.
  static constexpr std::size_t kMaxBookings = 4'096;

  void Book(const HostId& aDaemon, PeerBooking aBooking);

  // A report of the daemon says all that it has at runners.
  void NoteReport(const HostId& aDaemon);

  // Returns the bookings that have not ended; the others are dropped.
  std::vector<PeerBooking> All(TimePoint aNow);

private:
  std::map<HostId, std::vector<PeerBooking>> byDaemon;
  std::size_t count = 0;
};

// Returns for how many announcements one stands, if `aHeard` of `aDaemons`
// other daemons announce to this one. At least one.
std::uint32_t
AnnouncementsOf(std::size_t aDaemons, std::size_t aHeard);

} // namespace wigeonwalk
