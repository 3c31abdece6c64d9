// A 128-bit hash value.
//
//   Hash128 key = HashBytes("text", 0);
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Sixteen bytes that stand for a longer text.
struct Hash128
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Hash128&) const = default;

  // Returns 32 lower-case hexadecimal digits.
  std::string ToHex() const;
};

// Returns the xxHash3 128-bit hash of the bytes under a seed. Fast, but not
// resistant to a party that chooses the bytes to collide.
Hash128
HashBytes(std::string_view aBytes, std::uint64_t aSeed);

// Returns the value of 32 hexadecimal digits, or nothing for any other text.
std::optional<Hash128>
ParseHash128(std::string_view aHex);

} // namespace wigeonwalk

template<>
struct std::hash<wigeonwalk::Hash128>
{
  std::size_t operator()(const wigeonwalk::Hash128& aHash) const noexcept
  {
    return aHash.low ^ (aHash.high * 0x9E3779B97F4A7C15ULL);
  }
};
