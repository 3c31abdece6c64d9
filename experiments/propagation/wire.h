// Passes all messages of a fake peer network through the real codec and
// framing.
//
//   UseWireCodec(network);
#pragma once

#include "wigeonwalk/testing/peer_network.h"

namespace wigeonwalk::experiments {

// Makes the network encode, seal, open and decode each message, and count the
// bytes of its frame including UDP and IP, or TCP and IP, headers. A message
// that does not decode throws std::runtime_error.
void
UseWireCodec(PeerNetwork& aNetwork);

} // namespace wigeonwalk::experiments
