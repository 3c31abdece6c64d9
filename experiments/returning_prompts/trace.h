// Seeded traces of returning prompts.
//
//   Trace trace = MakeTrace(deployment, { .load = 0.9, .seed = 1 });
#pragma once

#include "returning_prompts/deployment.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <vector>

namespace wigeonwalk::replay {

// One request. The first `archivePieces` pieces belong to the organisation's
// archive, the others to the prompt.
struct Arrival
{
  TimePoint at;
  std::uint32_t organisation = 0;
  RequestClass requestClass = RequestClass::Standard;
  std::uint64_t prompt = 0;
  std::uint32_t archivePieces = 0;
  std::uint64_t tokens = 0;
  // Leading tokens that were served before: those of the prompt, or of its
  // archive when the prompt is new.
  std::uint64_t seenTokens = 0;
  std::uint32_t answerTokens = 0;
  // Time since the prompt was last served; negative if it is new.
  double gapSeconds = -1;
  std::uint32_t zone = 0;
};

// A prompt that was last served before the trace begins.
struct PastPrompt
{
  TimePoint lastAt;
  std::uint32_t organisation = 0;
  std::uint64_t prompt = 0;
  std::uint32_t archivePieces = 0;
  std::uint32_t pieces = 0;
  // True if it returns within the trace.
  bool returns = false;
};

// A serving before the trace, from which the return model learns.
struct PastServing
{
  std::uint32_t organisation = 0;
  // Negative if the prompt was new.
  double gapSeconds = -1;
};

struct TraceOptions
{
  // Offered prompt tokens as a fraction of what the runners can prefill. Tokens
  // that were served before count as recomputed.
  double load = 0.9;
  std::uint64_t seed = 1;
  Duration warmUp = std::chrono::minutes(4);
  Duration measured = std::chrono::minutes(16);
  Duration history = std::chrono::hours(48);
  // Multiplies all gaps. Below 1, runners still hold the prompts that return.
  double gapScale = 1;
};

struct Trace
{
  // Ordered by `at`.
  std::vector<Arrival> arrivals;
  // Ordered by `lastAt`.
  std::vector<PastPrompt> pastPrompts;
  std::vector<PastServing> pastServings;
  TimePoint start;
  TimePoint measureFrom;
  TimePoint end;
};

Trace
MakeTrace(const Deployment& aDeployment, const TraceOptions& aOptions);

} // namespace wigeonwalk::replay
