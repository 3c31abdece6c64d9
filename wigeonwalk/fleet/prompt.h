// A prompt as its caller describes it, without its text: the model, the numbers
// of tokens, and the parts that can be cached.
//
//   Prompt prompt{ ModelName("m"), 330, 50, { { "g", 250 }, { "own", 80 } } };
#pragma once

#include "wigeonwalk/base/ids.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk {

// One part of a prompt. Requests that share a part give it the same id; the
// last part is specific to one request or session.
struct PromptPart
{
  std::string id;
  std::uint32_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

struct Prompt
{
  ModelName model;
  std::uint32_t inputTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  std::vector<PromptPart> parts;

  // Engine memory that the request takes at most at a runner with
  // `aRunnerTokens`, zero if that is unknown. In tokens. Callers may claim any
  // number; what exceeds a runner must not count against other requests.
  std::uint64_t MemoryTokens(std::uint64_t aRunnerTokens) const
  {
    const std::uint64_t claimed =
      std::uint64_t(this->inputTokens) + this->maxOutputTokens;
    return aRunnerTokens > 0 ? std::min(claimed, aRunnerTokens) : claimed;
  }

  bool operator==(const Prompt&) const = default;
};

} // namespace wigeonwalk
