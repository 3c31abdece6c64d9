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

// A hash of 16 bytes.
struct Hash128
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Hash128&) const = default;

  // Returns 32 lower-case hexadecimal digits.
  std::string ToHex() const;
};

// Returns the 128-bit xxHash3 of the bytes with a seed. Fast, but not
// cryptographic: whoever chooses the bytes can produce collisions.
Hash128
HashBytes(std::string_view aBytes, std::uint64_t aSeed);

// Parses 32 hexadecimal digits. Returns nullopt for any other text.
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
