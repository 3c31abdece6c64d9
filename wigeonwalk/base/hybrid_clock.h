// Hybrid logical clock: timestamps of events across hosts in causal order.
//
//   HybridClock clock;
//   HybridTime sent = clock.Stamp(aNow);          // carried on a message
//   HybridTime received = other.Observe(sent, aNow); // later than `sent`
//
// After Kulkarni and others, "Logical Physical Clocks", 2014.
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Physical microseconds, and a counter that orders events within one of them.
struct HybridTime
{
  TimePoint physical;
  std::uint32_t counter = 0;

  bool operator==(const HybridTime&) const = default;

  // Returns "microseconds.counter" since the Unix epoch.
  std::string ToString() const;
};

bool
operator<(const HybridTime& aLeft, const HybridTime& aRight);

// Returns the time that ToString printed, or nothing for any other text.
std::optional<HybridTime>
ParseHybridTime(std::string_view aText);

// A stamp from another host that is further ahead of our clock than this does
// not move it: one host with a wrong clock must not shift every timeline. Equal
// to the margin that claims allow between clocks.
inline constexpr Duration kMaxClockLead = std::chrono::seconds(30);

// Issues stamps that always rise. One thread only.
class HybridClock
{
public:
  // Returns the stamp of a local event or of a message about to be sent.
  HybridTime Stamp(TimePoint aNow);

  // Returns the stamp of receiving a message: later than the message's stamp
  // and than all earlier stamps.
  HybridTime Observe(const HybridTime& aRemote, TimePoint aNow);

private:
  HybridTime last;
};

} // namespace wigeonwalk
