// Compact text form of claim segments.
//
//   std::string value = ClaimTextCodec::Encode(segment);
//   auto segment = ClaimTextCodec::Decode(value, reason);
#pragma once

#include "wigeonwalk/claims/claim_segment.h"

namespace wigeonwalk {

// The value starts with the format version "1" and "o" (open) or "s" (sealed).
// Records follow, each of them a letter and fixed-width fields of base64url
// digits, most significant first:
//   b BATCH(11)                              a batch; its entries follow
//   c KEY(22) BODY(8) SECONDS(6)             claimed
//   r BATCH(11) POSITION(2)                  released
//   f BATCH(11) POSITION(2) VERDICT(1) STATUS(2)   finished
class ClaimTextCodec
{
public:
  static constexpr std::size_t kEmptySegmentBytes = 2;
  static constexpr std::size_t kBatchBytes = 12;

  static std::string Encode(const ClaimSegment& aSegment);
  static std::optional<ClaimSegment> Decode(std::string_view aValue,
                                            FailureReason& aReason);
  static std::size_t SizeOf(const ClaimEntry& aEntry);
};

static_assert(ClaimCodec<ClaimTextCodec>);

} // namespace wigeonwalk
