#include "wigeonwalk/base/hybrid_clock.h"

#include <charconv>
#include <limits>
#include <tuple>

namespace wigeonwalk {

namespace {

template<typename Integer>
bool
ParseInteger(std::string_view aText, Integer& aValue)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue);
  return result.ec == std::errc() && result.ptr == end;
}

// Returns the next timestamp, with the same physical time unless the counter
// overflows.
HybridTime
NextTimestamp(const HybridTime& aTime)
{
  if (aTime.counter == std::numeric_limits<std::uint32_t>::max()) {
    return { aTime.physical + Duration(1), 0 };
  }
  return { aTime.physical, aTime.counter + 1 };
}

} // namespace

bool
operator<(const HybridTime& aLeft, const HybridTime& aRight)
{
  return std::tie(aLeft.physical, aLeft.counter) <
         std::tie(aRight.physical, aRight.counter);
}

std::string
HybridTime::ToString() const
{
  return std::to_string(this->physical.time_since_epoch().count()) + "." +
         std::to_string(this->counter);
}

std::optional<HybridTime>
ParseHybridTime(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  std::int64_t microseconds = 0;
  HybridTime time;
  if (dot == std::string_view::npos ||
      !ParseInteger(aText.substr(0, dot), microseconds) || microseconds < 0 ||
      !ParseInteger(aText.substr(dot + 1), time.counter)) {
    return std::nullopt;
  }
  time.physical = TimePoint(Duration(microseconds));
  return time;
}

HybridTime
HybridClock::Stamp(TimePoint aNow)
{
  this->last = aNow > this->last.physical ? HybridTime{ aNow, 0 }
                                          : NextTimestamp(this->last);
  return this->last;
}

HybridTime
HybridClock::Observe(const HybridTime& aRemote, TimePoint aNow)
{
  const bool withinSkew = aRemote.physical - aNow <= kMaxClockSkew;
  if (withinSkew && this->last < aRemote) {
    this->last = aRemote;
  }
  return this->Stamp(aNow);
}

} // namespace wigeonwalk
