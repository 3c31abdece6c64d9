// Hybrid logical clock: timestamps that order events of several hosts causally.
//
//   HybridClock clock;
//   HybridTime sent = clock.Stamp(aNow);          // carried on a message
//   HybridTime received = other.Observe(sent, aNow); // later than `sent`
//
// See Kulkarni et al., "Logical Physical Clocks", 2014.
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Physical time in microseconds, and a counter that orders events within the
// same microsecond.
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

// Parses the output of ToString. Returns nullopt for any other text.
std::optional<HybridTime>
ParseHybridTime(std::string_view aText);

// A timestamp from another host that is further ahead of the local clock than
// this does not advance the clock, so that one host with a wrong clock can't
// shift the timelines of all hosts. Equal to the clock skew that claims
// tolerate.
inline constexpr Duration kMaxClockSkew = std::chrono::seconds(30);

// Issues strictly increasing timestamps. Not thread-safe.
class HybridClock
{
public:
  // Returns the timestamp of a local event or of a message about to be sent.
  HybridTime Stamp(TimePoint aNow);

  // Returns the timestamp of the receipt of a message with timestamp `aRemote`.
  // It is later than all earlier timestamps of this clock, and later than
  // `aRemote` unless that is more than kMaxClockSkew ahead.
  HybridTime Observe(const HybridTime& aRemote, TimePoint aNow);

private:
  HybridTime last;
};

} // namespace wigeonwalk
