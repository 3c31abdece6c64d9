// A prompt as its caller describes it, without its text: the model, the numbers
// of tokens, and the parts that can be cached.
//
//   Prompt prompt{ ModelName("m"), 330, 50, { { "g", 250 }, { "own", 80 } } };
#pragma once

#include "wigeonwalk/base/ids.h"

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

  // Engine memory that the request takes at most, in tokens.
  std::uint64_t MemoryTokens() const
  {
    return std::uint64_t(this->inputTokens) + this->maxOutputTokens;
  }

  bool operator==(const Prompt&) const = default;
};

} // namespace wigeonwalk
