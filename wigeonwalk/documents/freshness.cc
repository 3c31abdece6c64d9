#include "wigeonwalk/documents/freshness.h"

#include <algorithm>

namespace wigeonwalk {

Freshness
EvaluateFreshness(const FreshnessState& aState, TimePoint aNow)
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
  const Duration sinceContact = aNow - contact;
  if (sinceContact >= kRefuseIsolatedAfter) {
    return Freshness::RefuseIsolated;
  }
  return sinceContact >= kFailHealthCheckAfter ? Freshness::FailHealthCheck
                                               : Freshness::Serve;
}

} // namespace wigeonwalk
