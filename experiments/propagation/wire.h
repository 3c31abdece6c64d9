// Takes every message of a fake network through the real codec and frames.
//
//   CarryOverWire(network);
#pragma once

#include "wigeonwalk/testing/peer_network.h"

namespace wigeonwalk::experiments {

// Encodes, seals, opens and decodes each message, and counts the bytes of the
// frame with its headers of UDP and IP, or TCP and IP.
void
CarryOverWire(PeerNetwork& aNetwork);

} // namespace wigeonwalk::experiments
