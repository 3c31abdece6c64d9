#include "wigeonwalk/adapters/settings/duration_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace wigeonwalk {

namespace {

struct DurationUnit
{
  std::string_view name;
  std::int64_t microseconds;
};

// From the largest unit to the smallest.
constexpr std::array<DurationUnit, 5> kUnits{ {
  { "h", 3'600'000'000 },
  { "m", 60'000'000 },
  { "s", 1'000'000 },
  { "ms", 1'000 },
  { "us", 1 },
} };

// Nine digits of the largest unit, hours, do not overflow 64 bits of
// microseconds.
constexpr std::size_t kMaxDurationDigits = 9;

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

} // namespace

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  const auto digits = static_cast<std::size_t>(
    std::find_if_not(aText.begin(), aText.end(), IsDigit) - aText.begin());
  if (digits == 0 || digits > kMaxDurationDigits) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + digits, number);
  const std::string_view unitName = aText.substr(digits);
  for (const auto& unit : kUnits) {
    if (unit.name == unitName) {
      return Duration(number * unit.microseconds);
    }
  }
  return std::nullopt;
}

std::string
PrintDuration(Duration aDuration)
{
  if (aDuration.count() == 0) {
    return "0s";
  }
  for (const auto& unit : kUnits) {
    if (aDuration.count() % unit.microseconds == 0) {
      return std::to_string(aDuration.count() / unit.microseconds) +
             std::string(unit.name);
    }
  }
  return std::to_string(aDuration.count()) + "us";
}

} // namespace wigeonwalk
