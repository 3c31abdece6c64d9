// Keys of the claim log in the key-value service.
//
//   SegmentKey(7, 12);   // "claims/07/000000000012"
//   FloorKey(7);         // "claim-floors/07"
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the prefix of the keys of all segments of a shard.
std::string
SegmentPrefix(std::uint32_t aShard);

std::string
SegmentKey(std::uint32_t aShard, std::uint64_t aIndex);

// Returns the key whose value is the index of the shard's first valid segment.
// It does not start with SegmentPrefix(aShard).
std::string
FloorKey(std::uint32_t aShard);

// Returns the index at the end of a segment's key, or nullopt if it has none.
std::optional<std::uint64_t>
IndexOfSegmentKey(std::string_view aKey);

// Returns the value of a decimal number, or nullopt if the text is not one.
std::optional<std::uint64_t>
ParseIndex(std::string_view aText);

} // namespace wigeonwalk
