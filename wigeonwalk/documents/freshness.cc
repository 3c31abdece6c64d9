#include "wigeonwalk/documents/freshness.h"

#include <algorithm>

namespace wigeonwalk {

Freshness
JudgeFreshness(const FreshnessState& aState, TimePoint aNow)
{
  if (!aState.loaded) {
    return Freshness::RefuseNotLoaded;
  }
  const TimePoint never;
  if (aState.hasKeyValue &&
      aNow - aState.confirmedAt.value_or(never) >= kRefuseStaleAfter) {
    return Freshness::RefuseStale;
  }
  if (!aState.hasPeers) {
    return Freshness::Serve;
  }
  const TimePoint contact = std::max(aState.keyValueContact.value_or(never),
                                     aState.peerContact.value_or(never));
  const Duration silence = aNow - contact;
  if (silence >= kRefuseIsolatedAfter) {
    return Freshness::RefuseIsolated;
  }
  return silence >= kFailHealthCheckAfter ? Freshness::FailHealthCheck
                                          : Freshness::Serve;
}

} // namespace wigeonwalk
