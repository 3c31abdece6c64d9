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

// Rates and limits of one shard. Appends and trims together cause at most
// 48 × (1 / 0.274 + 1 / 3) = 191 writes a second over all shards; the design
// allows 192.
struct ClaimLogSettings
{
  Duration window = kClaimWindow;
  // Minimum time between two appends.
  Duration appendInterval = std::chrono::milliseconds(274);
  // Minimum time between two trim writes. A shard at the target load fills a
  // segment in about 3.4 s.
  Duration trimInterval = std::chrono::seconds(3);
  // A claim is answered Unavailable if the key-value service has not answered
  // any call for this long since the claim began.
  Duration claimTimeout = std::chrono::milliseconds(300);
  // Maximum wait of a claim while the service does answer, as during a
  // takeover.
  Duration maxWait = std::chrono::seconds(1);
  // Timeout of one call to the key-value service.
  Duration callTimeout = std::chrono::milliseconds(200);
  Duration initialRetryDelay = std::chrono::milliseconds(50);
  Duration maxRetryDelay = std::chrono::seconds(1);
  // Maximum encoded size of a segment.
  std::size_t maxSegmentBytes = kMaxSegmentBytes;
  // Number of expired segments after which the floor is moved, so that there
  // are few floor writes compared with the deletions.
  std::uint32_t floorStep = 32;
};

// Generates unique batch ids: a hash of the host, the incarnation and a
// counter.
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
