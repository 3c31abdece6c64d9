// Encodes and decodes the messages between daemons as MessagePack.
//
//   std::string payload = EncodeDatagram(datagram, kMaxPayloadBytes);
//   auto datagram = DecodeDatagram(payload);
//
// Messages are maps with short keys. For compatibility between releases, a
// decoder ignores unknown keys and skips list elements of an unknown kind. Any
// other deviation, such as a missing field or one of the wrong type, makes the
// whole message malformed.
#pragma once

#include "wigeonwalk/ports/peer_messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the payload. If it would exceed aMaxBytes, trailing updates are
// omitted first, then trailing notices.
std::string
EncodeDatagram(const PeerDatagram& aDatagram, std::size_t aMaxBytes);

std::string
EncodeCall(const PeerCall& aCall);

std::string
EncodeAnswer(const PeerAnswer& aAnswer);

// The decoders return nothing if the payload is malformed.
std::optional<PeerDatagram>
DecodeDatagram(std::string_view aPayload);

std::optional<PeerCall>
DecodeCall(std::string_view aPayload);

std::optional<PeerAnswer>
DecodeAnswer(std::string_view aPayload);

} // namespace wigeonwalk
