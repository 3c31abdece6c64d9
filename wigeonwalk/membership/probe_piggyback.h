// The data piggybacked on probes besides member updates.
//
// The daemon implements one ProbePiggyback for its documents, poison
// fingerprints and leaving marks:
//
//   FailureDetector detector(timer, channel, spawner, piggyback, table, clock,
//   7);
#pragma once

#include "wigeonwalk/ports/peer_messages.h"

#include <concepts>
#include <string>
#include <vector>

namespace wigeonwalk {

// Provides and consumes the piggybacked data, and is notified of membership
// changes. None of the operations may block.
template<typename T>
concept ProbePiggyback = requires(T& aPiggyback,
                                  const PeerDatagram& aDatagram,
                                  const MemberUpdate& aUpdate,
                                  TimePoint aNow)
{
  // Returns the digest of the documents in force.
  {
    aPiggyback.CurrentDigest(aNow)
    } -> std::same_as<DocumentDigest>;
  // Returns the notices to send with the next datagram.
  {
    aPiggyback.TakeNotices(aNow)
    } -> std::same_as<std::vector<PeerNotice>>;
  // Called for each datagram received; handles its digest and notices.
  {
    aPiggyback.OnPiggybackedData(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called for each direct answer to a probe of this daemon, with the send time
  // of that probe: the answering daemon was reachable after that time.
  {
    aPiggyback.OnContact(aDatagram, aNow)
    } -> std::same_as<void>;
  // Called after the state of a member has changed.
  {
    aPiggyback.OnMemberChange(aUpdate, aNow)
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
