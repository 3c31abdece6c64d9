// The data piggybacked on probes besides member updates.
//
// The daemon implements one ProbeRider for its documents, poison fingerprints
// and leaving marks:
//
//   FailureDetector detector(timer, channel, spawner, rider, table, clock, 7);
#pragma once

#include "wigeonwalk/ports/peer_messages.h"

#include <concepts>
#include <string>
#include <vector>

namespace wigeonwalk {

// Provides and consumes the piggybacked data, and is notified of membership
// changes. None of the operations may block.
template<typename T>
concept ProbeRider = requires(T& aRider,
                              const PeerDatagram& aDatagram,
                              const MemberUpdate& aUpdate,
                              TimePoint aNow)
{
  // Returns the digest of the documents in force.
  {
    aRider.CurrentDigest(aNow)
    } -> std::same_as<DocumentDigest>;
  // Returns the notices to send with the next datagram.
  {
    aRider.TakeNotices(aNow)
    } -> std::same_as<std::vector<PeerNotice>>;
  // Called for each datagram received; handles its digest and notices.
  {
    aRider.OnRidden(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called for each direct answer to a probe of this daemon, with the send time
  // of that probe: the answering daemon was reachable after that time.
  {
    aRider.OnContact(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called after the state of a member has changed.
  {
    aRider.OnMemberChange(aUpdate, aNow)
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
