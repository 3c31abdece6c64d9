// Port for request metrics.
//
//   measures.TimeToFirstToken(scope, elapsed);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"

#include <concepts>
#include <cstdint>

namespace wigeonwalk {

// Labels of a request metric.
struct MetricScope
{
  ServiceName service;
  OrganisationId organisation;
};

// Records request metrics. No operation blocks or fails.
template<typename T>
concept RequestMetrics = requires(T& aMeasures,
                                  const MetricScope& aScope,
                                  Duration aElapsed,
                                  std::uint64_t aTokens,
                                  Verdict aVerdict)
{
  // Time from arrival to the first token, time in the queue, and time between
  // two tokens.
  {
    aMeasures.TimeToFirstToken(aScope, aElapsed)
    } -> std::same_as<void>;
  {
    aMeasures.QueueTime(aScope, aElapsed)
    } -> std::same_as<void>;
  {
    aMeasures.InterTokenLatency(aScope, aElapsed)
    } -> std::same_as<void>;
  // Number of prompt tokens, and how many of them were computed again although
  // their KV cache had been stored or served before.
  {
    aMeasures.Prompt(aScope, aTokens, aTokens)
    } -> std::same_as<void>;
  {
    aMeasures.Ended(aScope, aVerdict)
    } -> std::same_as<void>;
  {
    aMeasures.Retried(aScope)
    } -> std::same_as<void>;
  {
    aMeasures.Dropped(aScope)
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
