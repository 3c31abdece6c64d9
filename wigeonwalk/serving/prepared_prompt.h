// A prompt with the data that placement needs: its weight version, the keys of
// its pieces and their stored copies.
//
//   PreparedPrompt prompt = co_await PreparePrompt(context, state);
#pragma once

#include "wigeonwalk/cache/piece_key.h"
#include "wigeonwalk/serving/directory_service.h"
#include "wigeonwalk/serving/stream_forwarder.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk {

// Prompts of at most this many pieces are hashed on the I/O thread. At about 8
// µs per piece, this takes less than 100 µs.
inline constexpr std::size_t kMaxPiecesHashedInline = 12;

struct PreparedPrompt
{
  WeightVersion version;
  PieceKey salt;
  std::vector<PieceKey> pieceKeys;
  ChainCopies copies;

  // Returns the number of prompt tokens that are stored on store hosts.
  std::uint64_t StoredTokens(std::uint64_t aPromptTokens) const
  {
    return std::min<std::uint64_t>(
      this->copies.size() * std::uint64_t{ kPieceTokens }, aPromptTokens);
  }
};

// Chooses the weight version, hashes the prompt and looks up its stored pieces.
template<typename Context>
Task<PreparedPrompt>
PreparePrompt(Context& aContext, const RequestState& aState)
{
  DaemonState& daemon = aContext.daemon;
  const std::string& text = aState.request.prompt;
  PreparedPrompt prompt;
  prompt.version = daemon.placer.ChooseVersion(
    aState.document, daemon.random(), aContext.time.Now());
  const PieceScope scope{ aState.caller.organisation->id,
                          aState.document.name,
                          aState.document.model.name,
                          prompt.version,
                          AdapterName() };
  prompt.salt = ScopeSalt(daemon.secret, scope);
  if (text.size() <= kMaxPiecesHashedInline * kPieceBytes) {
    prompt.pieceKeys = PieceChain(prompt.salt, text);
  } else {
    const auto hash = [&prompt, &text] {
      return PieceChain(prompt.salt, text);
    };
    prompt.pieceKeys = co_await aContext.pool.RunOnPool(hash);
  }
  prompt.copies = co_await aContext.mover.Locate(prompt.pieceKeys);
  RecordStep(aContext,
             aState,
             EventKind::DirectoryLookedUp,
             std::to_string(prompt.copies.size()) + " of " +
               std::to_string(prompt.pieceKeys.size()) + " pieces stored");
  co_return prompt;
}

} // namespace wigeonwalk
