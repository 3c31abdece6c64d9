// MessagePack encoding of the directory messages between daemons.
//
//   DirectoryMsgpack codec;
//   std::string payload = codec.EncodeChain(chain);
#pragma once

#include "wigeonwalk/serving/directory_service.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Upper bound on the pieces of one chain in a message, enough for a prompt of
// eight million tokens.
inline constexpr std::size_t kMaxChainPieces = 4096;

// Stateless. An encoded copy takes about 75 bytes, an encoded key 18 bytes.
// Decoding returns nullopt for a malformed payload.
class DirectoryMsgpack
{
public:
  std::string EncodeChain(const std::vector<PieceKey>& aChain) const;
  std::optional<std::vector<PieceKey>> DecodeChain(
    const std::string& aPayload) const;

  std::string EncodeCopies(const ChainCopies& aCopies) const;
  std::optional<ChainCopies> DecodeCopies(const std::string& aPayload) const;

  std::string EncodeUpdate(const DirectoryUpdate& aUpdate) const;
  std::optional<DirectoryUpdate> DecodeUpdate(
    const std::string& aPayload) const;
};

static_assert(DirectoryCodec<DirectoryMsgpack>);

} // namespace wigeonwalk
