// What rides on probes besides member updates.
//
// The daemon composes one rider from its documents, poison fingerprints and
// leaving marks:
//
//   FailureDetector detector(timer, channel, spawner, rider, table, clock, 7);
#pragma once

#include "wigeonwalk/ports/peer_messages.h"

#include <concepts>
#include <string>
#include <vector>

namespace wigeonwalk {

// Supplies and takes what is piggybacked, and hears of changes of members.
// None of the operations may block.
template<typename T>
concept ProbeRider = requires(T& aRider,
                              const PeerDatagram& aDatagram,
                              const MemberUpdate& aUpdate,
                              TimePoint aNow)
{
  // The digest of the documents in force.
  {
    aRider.CurrentDigest(aNow)
    } -> std::same_as<DocumentDigest>;
  // Notices to send with the next datagram.
  {
    aRider.TakeNotices(aNow)
    } -> std::same_as<std::vector<PeerNotice>>;
  // Called for each datagram: its digest and notices have not been looked at.
  {
    aRider.OnRidden(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called for the answer to an own probe, with the time of that probe: the
  // answering daemon was reached after it.
  {
    aRider.OnContact(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called after the state of a member has changed.
  {
    aRider.OnMemberChange(aUpdate, aNow)
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
