#include "wigeonwalk/base/hash128.h"

#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace wigeonwalk {

std::string
Hash128::ToHex() const
{
  char digits[33];
  std::snprintf(digits,
                sizeof digits,
                "%016llx%016llx",
                static_cast<unsigned long long>(this->high),
                static_cast<unsigned long long>(this->low));
  return digits;
}

Hash128
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
  return { hash.high64, hash.low64 };
}

std::optional<Hash128>
ParseHash128(std::string_view aHex)
{
  constexpr std::size_t kDigitsPerWord = 16;
  if (aHex.size() != 2 * kDigitsPerWord) {
    return std::nullopt;
  }
  Hash128 hash;
  const char* middle = aHex.data() + kDigitsPerWord;
  const char* end = middle + kDigitsPerWord;
  const auto high = std::from_chars(aHex.data(), middle, hash.high, 16);
  const auto low = std::from_chars(middle, end, hash.low, 16);
  if (high.ptr != middle || low.ptr != end) {
    return std::nullopt;
  }
  return hash;
}

} // namespace wigeonwalk
