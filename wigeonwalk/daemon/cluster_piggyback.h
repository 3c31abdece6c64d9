// Data that daemons piggyback on the probes of failure detection.
//
//   ClusterPiggyback piggyback(store, daemonState, events);
//   piggyback.onEvidence = [this] { this->PushEvidence(); };
#pragma once

#include "wigeonwalk/adapters/notices/notice_codec.h"
#include "wigeonwalk/daemon/event_recorder.h"
#include "wigeonwalk/documents/document_store.h"
#include "wigeonwalk/membership/probe_piggyback.h"
#include "wigeonwalk/serving/daemon_state.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace wigeonwalk {

// Most notices of one kind in a datagram. Each takes about 90 bytes, next to
// ten member updates.
inline constexpr std::size_t kNoticesPerDatagram = 3;

// Piggybacks the digest of documents and the notices of poison requests and of
// leaving upstreams. Satisfies ProbePiggyback.
class ClusterPiggyback
{
public:
  ClusterPiggyback(DocumentStore& aStore,
                   DaemonState& aDaemonState,
                   EventRecorder& aEvents)
    : store(aStore)
    , daemonState(aDaemonState)
    , events(aEvents)
  {
  }

  DocumentDigest CurrentDigest(TimePoint aNow)
  {
    return this->store.Digest(aNow);
  }

  // Notices in `urgent` are added to each datagram while a push is running.
  std::vector<PeerNotice> TakeNotices(TimePoint)
  {
    std::vector<PeerNotice> notices = this->urgent;
    for (const auto& notice :
         this->daemonState.poison.TakeNotices(kNoticesPerDatagram)) {
      notices.push_back(EncodeNotice(notice));
    }
    for (const auto& notice : this->daemonState.upstreams.Leaving().TakeNotices(
           kNoticesPerDatagram)) {
      notices.push_back(EncodeNotice(notice));
    }
    return notices;
  }

  void OnPiggybackedData(const PeerDatagram& aDatagram, TimePoint aNow)
  {
    this->onProbe(aDatagram);
    for (const PeerNotice& notice : aDatagram.notices) {
      if (const auto poison = DecodePoisonNotice(notice)) {
        if (this->daemonState.poison.MergeNotice(*poison, aNow)) {
          this->onEvidence();
        }
      }
      if (const auto leaving = DecodeLeavingNotice(notice)) {
        this->daemonState.upstreams.Leaving().MergeNotice(*leaving);
      }
    }
  }

  void OnContact(const PeerDatagram& aAnswer, TimePoint aProbedAt)
  {
    this->onContact(aAnswer, aProbedAt);
  }

  void OnMemberChange(const MemberUpdate& aUpdate, TimePoint aNow)
  {
    this->events.Record({ EventOf(aUpdate.state),
                          aNow,
                          RequestId(),
                          aUpdate.host.Text(),
                          std::nullopt,
                          {} });
    this->onMembers();
  }

  static EventKind EventOf(MemberState aState)
  {
    switch (aState) {
      case MemberState::Alive:
        return EventKind::MemberJoined;
      case MemberState::Suspect:
        return EventKind::MemberSuspected;
      case MemberState::Lost:
        return EventKind::MemberLost;
      case MemberState::Left:
        break;
    }
    return EventKind::MemberLeft;
  }

  // Receive digests and contacts; set before the first datagram.
  std::function<void(const PeerDatagram&)> onProbe;
  std::function<void(const PeerDatagram&, TimePoint)> onContact;
  // Called after the state of a member has changed.
  std::function<void()> onMembers;
  // Called when new evidence about a poison request arrives.
  std::function<void()> onEvidence;
  // Notices of the push that is running.
  std::vector<PeerNotice> urgent;

private:
  DocumentStore& store;
  DaemonState& daemonState;
  EventRecorder& events;
};

static_assert(ProbePiggyback<ClusterPiggyback>);

} // namespace wigeonwalk
