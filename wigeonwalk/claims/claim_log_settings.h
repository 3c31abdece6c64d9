// Settings of the claim log and the ids of its batches.
//
//   BatchIds ids(host, incarnation);
//   std::uint64_t id = ids.Next();
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/claims/claim.h"
#include "wigeonwalk/claims/claim_segment.h"

#include <cstdint>
#include <string>

namespace wigeonwalk {

// Rates and limits of one shard. Appends and trimming together make
// 48 × (1 / 0.274 + 1 / 3) = 191 writes a second, within the 192 of the design.
struct ClaimLogSettings
{
  Duration window = kClaimWindow;
  // Least time between two appends.
  Duration appendInterval = std::chrono::milliseconds(274);
  // Least time between two writes that trim. A full shard at the target fills
  // a segment in about 3.4 s.
  Duration trimInterval = std::chrono::seconds(3);
  // A claim is answered Unavailable when the key-value service has answered
  // nothing for this long since the claim began.
  Duration claimTimeout = std::chrono::milliseconds(300);
  // Longest wait where the service does answer, as during a takeover.
  Duration longestWait = std::chrono::seconds(1);
  // Deadline of one call to the key-value service.
  Duration callTimeout = std::chrono::milliseconds(200);
  Duration firstRetry = std::chrono::milliseconds(50);
  Duration longestRetry = std::chrono::seconds(1);
  // Largest encoded segment.
  std::size_t maxSegmentBytes = kMaxSegmentBytes;
  // Sealed segments by which the floor moves at once, so that floor writes are
  // few beside the deletions.
  std::uint32_t floorStep = 32;
};

// Makes ids that no other batch has: a digest of daemon and incarnation, mixed
// with a counter.
class BatchIds
{
public:
  BatchIds(const HostId& aHost, std::uint64_t aIncarnation)
    : salt(HashBytes(aHost.Text(), aIncarnation).low)
  {
  }

  std::uint64_t Next()
  {
    const std::string text = std::to_string(++this->counter);
    return HashBytes(text, this->salt).low | 1;
  }

private:
  std::uint64_t salt;
  std::uint64_t counter = 0;
};

} // namespace wigeonwalk
