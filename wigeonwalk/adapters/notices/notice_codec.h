// Text encoding of the notices that are piggybacked on probes.
//
//   PeerNotice notice = EncodeNotice(poison);
//   auto poison = DecodePoisonNotice(notice);
#pragma once

#include "wigeonwalk/ports/peer_messages.h"
#include "wigeonwalk/retry/leaving_upstreams.h"
#include "wigeonwalk/retry/poison_tracker.h"

#include <optional>

namespace wigeonwalk {

PeerNotice
EncodeNotice(const PoisonNotice& aNotice);
PeerNotice
EncodeNotice(const LeavingNotice& aNotice);

// Return nullopt for a notice of another kind and for a malformed payload.
std::optional<PoisonNotice>
DecodePoisonNotice(const PeerNotice& aNotice);
std::optional<LeavingNotice>
DecodeLeavingNotice(const PeerNotice& aNotice);

} // namespace wigeonwalk
