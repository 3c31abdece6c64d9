// Messages between daemons as MessagePack.
//
//   std::string payload = EncodeDatagram(datagram, kRoom);
//   auto datagram = DecodeDatagram(payload);
//
// Messages are maps with short keys. A decoder ignores keys that it does not
// know, and list elements of a kind that it does not know, so that two releases
// run side by side. Everything else that is not as expected makes the whole
// message malformed.
#pragma once

#include "wigeonwalk/ports/peer_messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the payload, without the last updates and notices where all of them
// would take more than aMaxBytes.
std::string
EncodeDatagram(const PeerDatagram& aDatagram, std::size_t aMaxBytes);

std::string
EncodeCall(const PeerCall& aCall);

std::string
EncodeAnswer(const PeerAnswer& aAnswer);

// Return nothing where the payload is malformed.
std::optional<PeerDatagram>
DecodeDatagram(std::string_view aPayload);

std::optional<PeerCall>
DecodeCall(std::string_view aPayload);

std::optional<PeerAnswer>
DecodeAnswer(std::string_view aPayload);

} // namespace wigeonwalk
