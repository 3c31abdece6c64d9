// Tells other daemons where streams began, and asks them.
//
//   OriginExchange origins(state, channel, codec, timer);
//   origins.Announce(record);
//   auto origin = co_await origins.Ask(key);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/notice_limits.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/retry/stream_keepers.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wigeonwalk {

// Keeps no state of its own; the EntryState must outlive it.
template<PeerChannel P, EntryNoticeCodec C, Timer T>
class OriginExchange
{
public:
  OriginExchange(EntryState& aState, P& aChannel, const C& aCodec, T& aTimer)
    : state(aState)
    , channel(aChannel)
    , codec(aCodec)
    , timer(aTimer)
  {
  }

  // Tells the daemons that keep it where a stream began: its caller may take it
  // up again at any daemon, also when this one is gone.
  void Announce(const StreamRecord& aRecord)
  {
    const HostId recorder =
      RecorderOf(StreamRecorders(this->state.DaemonHosts()), aRecord.key);
    bool isRecorderTold = recorder == this->state.Settings().host;
    for (const EntryMember& member : this->Keepers(aRecord.key)) {
      isRecorderTold |= member.host == recorder;
      this->Send(member, aRecord);
    }
    const auto member = this->state.members.find(recorder);
    if (!isRecorderTold && member != this->state.members.end()) {
      this->Send(member->second, aRecord);
    }
  }

  // Asks the daemons that keep it where a stream began, one after the other.
  Task<std::optional<StreamOrigin>> Ask(Hash128 aKey)
  {
    PeerCall call;
    call.from = this->state.Settings().host;
    const StreamRecord query{ aKey, {} };
    call.body = ForwardedCall{ ForwardedKind::StreamOrigin,
                               this->codec.EncodeStream(query) };
    std::vector<EntryMember> keepers = this->Keepers(aKey);
    keepers.resize(std::min(keepers.size(), kOriginKeepers));
    for (const EntryMember& keeper : keepers) {
      FailureReason ignored;
      const TimePoint deadline = this->timer.Now() + kOriginCallTimeout;
      const auto answer = co_await this->channel.Call(
        keeper.peerAddress, call, deadline, ignored);
      const auto* body =
        answer ? std::get_if<ForwardedAnswer>(&answer->body) : nullptr;
      const auto record = body && !body->payload.empty()
                            ? this->codec.DecodeStream(body->payload)
                            : std::nullopt;
      if (record && record->key == aKey) {
        co_return record->origin;
      }
    }
    co_return std::nullopt;
  }

  // Announces the streams whose origin has become unknown.
  void AnnounceChanged()
  {
    for (const StreamRecord& record : this->state.streamOrigins.TakeChanged()) {
      this->Announce(record);
    }
  }

  // Records what another daemon has announced.
  void OnNotice(const PeerNotice& aNotice)
  {
    if (const auto stream = this->codec.DecodeStream(aNotice.payload)) {
      this->state.streamOrigins.Record(
        *stream, UpstreamId(), this->timer.Now());
    }
  }

  // Returns the encoded origin of a stream, an empty text if it is not known
  // here, or nothing if the query is malformed.
  std::optional<std::string> Answer(const std::string& aQuery) const
  {
    const auto query = this->codec.DecodeStream(aQuery);
    if (!query) {
      return std::nullopt;
    }
    const auto origin = this->state.streamOrigins.Find(query->key);
    if (!origin) {
      return std::string();
    }
    return this->codec.EncodeStream({ query->key, *origin });
  }

private:
  // Returns the other daemons that keep the origin of a stream, the first to be
  // asked first.
  std::vector<EntryMember> Keepers(const Hash128& aKey) const
  {
    std::vector<HostId> others;
    for (const auto& [host, member] : this->state.members) {
      if (host != this->state.Settings().host && !member.peerAddress.empty()) {
        others.push_back(host);
      }
    }
    std::vector<EntryMember> keepers;
    for (const HostId& host : StreamKeepers(aKey, others)) {
      keepers.push_back(this->state.members.at(host));
    }
    return keepers;
  }

  void Send(const EntryMember& aMember, const StreamRecord& aRecord)
  {
    PeerDatagram datagram;
    datagram.kind = DatagramKind::Notice;
    datagram.sender.host = this->state.Settings().host;
    datagram.notices = { { NoticeKind::StreamOrigin,
                           this->codec.EncodeStream(aRecord) } };
    this->channel.Send(aMember.peerAddress, datagram);
  }

  EntryState& state;
  P& channel;
  const C& codec;
  T& timer;
};

} // namespace wigeonwalk
