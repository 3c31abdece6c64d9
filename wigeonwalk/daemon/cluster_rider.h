// What rides on the probes between daemons.
//
//   ClusterRider piggyback(store, view, events);
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

// Notices on one datagram; about 90 bytes each beside ten member updates.
inline constexpr std::size_t kNoticesPerDatagram = 3;

// The digest of documents, and notices of poison
// requests and leaving upstreams. Satisfies ProbePiggyback.
class ClusterRider
{
public:
  ClusterRider(DocumentStore& aStore,
               DaemonState& aView,
               EventRecorder& aEvents)
    : store(aStore)
    , view(aView)
    , events(aEvents)
  {
  }

  DocumentDigest CurrentDigest(TimePoint aNow)
  {
    return this->store.Digest(aNow);
  }

  // Evidence that has to be pushed rides on each datagram until the push ends.
  std::vector<PeerNotice> TakeNotices(TimePoint)
  {
    std::vector<PeerNotice> notices = this->urgent;
    for (const auto& notice :
         this->view.poison.TakeNotices(kNoticesPerDatagram)) {
      notices.push_back(EncodeNotice(notice));
    }
    for (const auto& notice :
         this->view.upstreams.Marks().TakeNotices(kNoticesPerDatagram)) {
      notices.push_back(EncodeNotice(notice));
    }
    return notices;
  }

  void OnPiggybackedData(const PeerDatagram& aDatagram, TimePoint aNow)
  {
    this->onProbe(aDatagram);
    for (const PeerNotice& notice : aDatagram.notices) {
      if (const auto poison = DecodePoisonNotice(notice)) {
        if (this->view.poison.MergeNotice(*poison, aNow)) {
          this->onEvidence();
        }
      }
      if (const auto leaving = DecodeLeavingNotice(notice)) {
        this->view.upstreams.Marks().MergeNotice(*leaving);
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

  // Where digests and contacts go; set before the first datagram.
  std::function<void(const PeerDatagram&)> onProbe;
  std::function<void(const PeerDatagram&, TimePoint)> onContact;
  // Called after the state of a member has changed.
  std::function<void()> onMembers;
  // Called for new evidence against a request.
  std::function<void()> onEvidence;
  // Notices of the push that is under way.
  std::vector<PeerNotice> urgent;

private:
  DocumentStore& store;
  DaemonState& view;
  EventRecorder& events;
};

static_assert(ProbePiggyback<ClusterRider>);

} // namespace wigeonwalk
