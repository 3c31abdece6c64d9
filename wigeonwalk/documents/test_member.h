// One daemon's membership and document propagation on fake ports, for tests and
// the propagation benchmark.
//
//   TestMember<> member(time, network, service, self);
//   member.Start(seeds);
#pragma once

#include "wigeonwalk/documents/document_propagation.h"
#include "wigeonwalk/documents/test_codec.h"
#include "wigeonwalk/membership/failure_detector.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/peer_network.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Records when each document's revision came into force, and whether a revision
// ever failed to increase.
struct InForceLog
{
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> inForce;
  bool regressed = false;

  void Record(Event aEvent)
  {
    if (aEvent.kind != EventKind::DocumentInForce) {
      return;
    }
    const std::string number = aEvent.detail.substr(sizeof "revision" - 1);
    auto& [revision, since] = this->inForce[aEvent.subject];
    const std::uint64_t next = std::stoull(number);
    this->regressed = this->regressed || next <= revision;
    revision = next;
    since = aEvent.at;
  }
};

// Attaches document digests to probes.
template<typename Propagation>
struct TestRider
{
  DocumentStore& store;
  Propagation& propagation;
  // Number of members that this one considered lost.
  std::uint64_t lost = 0;

  DocumentDigest CurrentDigest(TimePoint aNow)
  {
    return this->store.Digest(aNow);
  }
  std::vector<PeerNotice> TakeNotices(TimePoint) { return {}; }
  void OnPiggybackedData(const PeerDatagram& aDatagram, TimePoint)
  {
    this->propagation.OnProbe(aDatagram);
  }
  void OnContact(const PeerDatagram& aDatagram, TimePoint aProbedAt)
  {
    this->propagation.OnContact(aDatagram, aProbedAt);
  }
  void OnMemberChange(const MemberUpdate& aUpdate, TimePoint)
  {
    this->lost += aUpdate.state == MemberState::Lost ? 1 : 0;
  }
};

template<PushTargets P = ZoneFanOut>
class TestMember
{
public:
  using Ports = PropagationPorts<EndpointTimer,
                                 FakePeerChannel,
                                 VirtualTime,
                                 FakeKeyValue,
                                 TestDocumentCodec,
                                 InForceLog>;
  using Propagation = DocumentPropagation<Ports, P>;
  using Detector = FailureDetector<EndpointTimer,
                                   FakePeerChannel,
                                   VirtualTime,
                                   TestRider<Propagation>>;

  TestMember(VirtualTime& aTime,
             PeerNetwork& aNetwork,
             const FakeKeyValue& aService,
             const MemberUpdate& aSelf,
             PropagationSettings aSettings = {},
             P aTargets = {})
    : endpoint(aNetwork.Add(aSelf.address, aSelf.zone.Text()))
    , timer(aTime, this->endpoint)
    , channel(aNetwork, this->endpoint)
    , keyValue(aService.Connect())
    , table(aSelf)
    , propagation({ this->timer,
                    this->channel,
                    aTime,
                    this->keyValue,
                    this->codec,
                    this->log },
                  aTargets,
                  this->table,
                  this->store,
                  this->clock,
                  std::hash<HostId>()(aSelf.host) + 1,
                  aSettings)
    , piggyback{ this->store, this->propagation }
    , detector(this->timer,
               this->channel,
               aTime,
               this->piggyback,
               this->table,
               this->clock,
               std::hash<HostId>()(aSelf.host))
  {
    this->endpoint.onDatagram = [this](const PeerDatagram& aDatagram) {
      this->detector.OnDatagram(aDatagram);
    };
    this->endpoint.onCall = [this](PeerCall aCall) {
      return this->Answer(std::move(aCall));
    };
  }

  TestMember(const TestMember&) = delete;
  TestMember& operator=(const TestMember&) = delete;

  void Start(const std::vector<MemberUpdate>& aSeeds)
  {
    this->detector.Start(aSeeds);
    this->propagation.Start();
  }

  std::uint64_t Revision(const std::string& aService) const
  {
    const auto document = this->store.InForce(ServiceName(aService));
    return document ? document->revision : 0;
  }

  PeerNetwork::Endpoint& endpoint;
  EndpointTimer timer;
  FakePeerChannel channel;
  FakeKeyValue keyValue;
  TestDocumentCodec codec;
  InForceLog log;
  HybridClock clock;
  MemberTable table;
  DocumentStore store;
  Propagation propagation;
  TestRider<Propagation> piggyback;
  Detector detector;

private:
  Task<std::optional<PeerAnswer>> Answer(PeerCall aCall)
  {
    PeerAnswer answer;
    answer.from = this->table.Self().host;
    answer.sentAt = this->clock.Stamp(this->timer.Now());
    if (const auto* sync = std::get_if<MemberSync>(&aCall.body)) {
      answer.body = this->detector.OnSync(*sync);
    } else if (const auto* fetch = std::get_if<DocumentFetch>(&aCall.body)) {
      answer.body = this->propagation.OnFetch(*fetch);
    } else if (const auto* push = std::get_if<DocumentPush>(&aCall.body)) {
      answer.body = this->propagation.OnPush(*push);
    } else {
      co_return std::nullopt;
    }
    co_return answer;
  }
};

} // namespace wigeonwalk
