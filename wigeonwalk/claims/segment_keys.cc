#include "wigeonwalk/claims/segment_keys.h"

#include <charconv>
#include <cstdio>

namespace wigeonwalk {

namespace {

std::string
PadWithZeros(std::uint64_t aValue, int aDigits)
{
  char digits[24];
  std::snprintf(digits,
                sizeof digits,
                "%0*llu",
                aDigits,
                static_cast<unsigned long long>(aValue));
  return digits;
}

} // namespace

std::string
SegmentPrefix(std::uint32_t aShard)
{
  return "claims/" + PadWithZeros(aShard, 2) + "/";
}

std::string
SegmentKey(std::uint32_t aShard, std::uint64_t aIndex)
{
  return SegmentPrefix(aShard) + PadWithZeros(aIndex, 12);
}

std::string
FloorKey(std::uint32_t aShard)
{
  return "claim-floors/" + PadWithZeros(aShard, 2);
}

std::optional<std::uint64_t>
IndexOfSegmentKey(std::string_view aKey)
{
  const std::size_t slash = aKey.rfind('/');
  return slash == aKey.npos ? std::nullopt : ParseIndex(aKey.substr(slash + 1));
}

std::optional<std::uint64_t>
ParseIndex(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace wigeonwalk
