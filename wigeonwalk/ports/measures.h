// Port for what is measured of requests.
//
//   measures.FirstToken(scope, elapsed);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"

#include <concepts>
#include <cstdint>

namespace wigeonwalk {

// Whose request a measure is about.
struct MeasureScope
{
  ServiceName service;
  OrganisationId organisation;
};

// Takes measures. None of the operations waits or fails.
template<typename T>
concept RequestMeasures = requires(T& aMeasures,
                                   const MeasureScope& aScope,
                                   Duration aElapsed,
                                   std::uint64_t aTokens,
                                   Verdict aVerdict)
{
  // Time from arrival to the first token, in the queue, and between tokens.
  {
    aMeasures.FirstToken(aScope, aElapsed)
    } -> std::same_as<void>;
  {
    aMeasures.QueueTime(aScope, aElapsed)
    } -> std::same_as<void>;
  {
    aMeasures.TokenGap(aScope, aElapsed)
    } -> std::same_as<void>;
  // Prompt tokens, and those computed again although stored or served before.
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
