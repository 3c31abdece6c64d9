// A hybrid logical clock: physical microseconds and a counter.
//
//   HybridClock clock;
//   message.sentAt = clock.Tick(timer.Now());
//   clock.Observe(received.sentAt, timer.Now());
#pragma once

#include "wigeonwalk/base/time.h"

#include <compare>
#include <cstdint>

namespace wigeonwalk {

// A time stamp that orders a cause before its effect across hosts.
struct HybridTime
{
  TimePoint physical;
  std::uint32_t counter = 0;

  // clang-tidy 14 takes the zero of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const HybridTime&) const = default;
};

// Issues time stamps that rise strictly within the process and exceed every
// observed one. One thread only.
class HybridClock
{
public:
  // A remote stamp this far ahead of the local clock does not move this one:
  // one host with a wrong clock must not drag all others into the future.
  static constexpr Duration kMaxLead = std::chrono::seconds(60);

  // Returns the stamp of a local event or of a message about to be sent.
  HybridTime Tick(TimePoint aNow);

  // Takes note of a received stamp and returns the stamp of its receipt.
  HybridTime Observe(HybridTime aRemote, TimePoint aNow);

private:
  HybridTime last;
};

} // namespace wigeonwalk
