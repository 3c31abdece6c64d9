// Keys that identify pieces of retained KV cache.
//
// A prompt is divided into pieces of kPieceTokens tokens. The key of a piece
// covers its own text, every piece before it, and the scope that computed it,
// so a piece of another organisation or weight version cannot match.
//
//   PieceScope scope{ organisation, service, model, version, adapter };
//   std::vector<PieceKey> chain = PieceChain(ScopeSalt(secret, scope), prompt);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/ports/model_engine.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Number of tokens in one piece.
inline constexpr std::uint32_t kPieceTokens = 2048;

// Daemons have no tokenizer: this many bytes of text count as one token.
inline constexpr std::uint32_t kBytesPerToken = 4;

// Number of bytes of prompt text in one piece.
inline constexpr std::size_t kPieceBytes =
  std::size_t{ kPieceTokens } * kBytesPerToken;

// All values that must be equal for one request to use another's cache.
struct PieceScope
{
  OrganisationId organisation;
  ServiceName service;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;

  bool operator==(const PieceScope&) const = default;
};

// Returns the value that starts every chain of a scope: HMAC-SHA-256 under the
// cluster's secret, truncated to 128 bits. It is also the engine's cache salt
// (EngineRequest::cacheSalt, as hexadecimal), from which the engine derives the
// same chain without knowing the secret.
PieceKey
ScopeSalt(std::string_view aSecret, const PieceScope& aScope);

// Returns the key of a piece that follows the piece with key `aPrevious`, or
// that is the first one after the salt.
PieceKey
NextPieceKey(const PieceKey& aPrevious, std::string_view aPieceText);

// Returns the keys of all whole pieces of a prompt, in order. The text after
// the last whole piece has no key. Takes about 8 µs per piece with SHA
// instructions; for prompts of more than 12 pieces, call it on the worker pool.
std::vector<PieceKey>
PieceChain(const PieceKey& aSalt, std::string_view aPrompt);

// Returns the number of tokens that a prompt counts as.
constexpr std::uint64_t
CountTokens(std::string_view aPrompt)
{
  return (aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

} // namespace wigeonwalk
