// One segment of a shard's claim log, and the concept of a codec for segments.
//
//   ClaimSegment segment;
//   AppendBatch<ClaimTextCodec>(segment, id, entries);
//   std::string value = ClaimTextCodec::Encode(segment);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/claims/claim.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Maximum encoded size of a segment. The design page allows 4 KiB. Every append
// rewrites the whole segment, so this smaller size keeps the traffic of an
// owner of two shards within 22 KB/s. Still smaller segments would need more
// deletions.
inline constexpr std::size_t kMaxSegmentBytes = 2560;

// An append that leaves less free space than this seals the segment.
inline constexpr std::size_t kSealBelowBytes = 128;

// The content of one segment, stored under one key.
struct ClaimSegment
{
  // A sealed segment never changes again; the log continues in the next one.
  bool sealed = false;
  std::vector<ClaimBatch> batches;

  bool operator==(const ClaimSegment&) const = default;
};

// Encodes segments as values of the key-value service and decodes them. Sizes
// are exact, in bytes.
template<typename T>
concept ClaimCodec = requires(const ClaimSegment& aSegment,
                              const ClaimEntry& aEntry,
                              std::string_view aValue,
                              FailureReason& aReason)
{
  {
    T::Encode(aSegment)
    } -> std::same_as<std::string>;
  {
    T::Decode(aValue, aReason)
    } -> std::same_as<std::optional<ClaimSegment>>;
  {
    T::SizeOf(aEntry)
    } -> std::same_as<std::size_t>;
  {
    T::kEmptySegmentBytes
    } -> std::convertible_to<std::size_t>;
  {
    T::kBatchBytes
    } -> std::convertible_to<std::size_t>;
};

// Returns the encoded size of a segment.
template<ClaimCodec Codec>
std::size_t
EncodedSize(const ClaimSegment& aSegment)
{
  std::size_t size = Codec::kEmptySegmentBytes;
  for (const ClaimBatch& batch : aSegment.batches) {
    size += Codec::kBatchBytes;
    for (const ClaimEntry& entry : batch.entries) {
      size += Codec::SizeOf(entry);
    }
  }
  return size;
}

// Appends a batch with as many of the entries, in order, as fit. Seals the
// segment if not all of them fit or if less than kSealBelowBytes is left.
// Returns the number of entries appended; an empty segment accepts at least
// one.
template<ClaimCodec Codec>
std::size_t
AppendBatch(ClaimSegment& aSegment,
            std::uint64_t aId,
            std::span<const ClaimEntry> aEntries,
            std::size_t aMaxBytes = kMaxSegmentBytes)
{
  std::size_t size = EncodedSize<Codec>(aSegment) + Codec::kBatchBytes;
  ClaimBatch batch{ aId, {} };
  for (const ClaimEntry& entry : aEntries) {
    const std::size_t added = Codec::SizeOf(entry);
    if (size + added > aMaxBytes) {
      break;
    }
    size += added;
    batch.entries.push_back(entry);
  }
  const std::size_t taken = batch.entries.size();
  if (taken < aEntries.size() || size + kSealBelowBytes > aMaxBytes) {
    aSegment.sealed = true;
  }
  aSegment.batches.push_back(std::move(batch));
  return taken;
}

} // namespace wigeonwalk
