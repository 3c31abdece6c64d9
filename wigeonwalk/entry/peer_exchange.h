// Exchanges notices and registry changes with the other entry daemons.
//
//   PeerExchange peers(state, watch, mirror, channel, codec, timer, log);
//   peers.AnnouncePause(pause);
//   spawn(peers.Run());
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/held_parts.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/notice_limits.h"
#include "wigeonwalk/entry/part_relay.h"
#include "wigeonwalk/entry/peer_loads.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Applies registry changes that another daemon reported.
template<typename T>
concept ChangeSink = requires(T& aSink,
                              const std::vector<WatchEvent>& aChanges,
                              std::int64_t aRevision)
{
  aSink.ApplyReported(aChanges, aRevision);
};

// Sends loads to daemons of the same zone, which use the same runners, and
// pauses to all daemons. Fetches registry changes from other daemons while this
// one can't reach the registry. One task, and one for each call of another
// daemon.
template<ChangeSink W,
         PeerChannel P,
         EntryNoticeCodec C,
         Timer T,
         StructuredLog L>
class PeerExchange
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
  // How often a daemon that can't reach the registry asks another daemon.
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  static constexpr std::size_t kMaxPoisonNotices = 8;

  PeerExchange(EntryState& aState,
               W& aWatch,
               const ItemMirror& aMirror,
               P& aChannel,
               const C& aCodec,
               T& aTimer,
               L& aLog)
    : state(aState)
    , watch(aWatch)
    , mirror(aMirror)
    , channel(aChannel)
    , codec(aCodec)
    , timer(aTimer)
    , log(aLog)
    , random(std::hash<HostId>()(aState.Settings().host))
  {
  }

  Task<void> Run()
  {
    while (true) {
      const TimePoint now = this->timer.Now();
      if (now >= this->loadsAt) {
        this->loadsAt = now + kLoadReportInterval;
        this->SendLoads();
        this->peerLoads.ApplyTo(this->state.fleet, now);
      }
      if (this->state.registryUnreachable && now >= this->queryAt) {
        this->queryAt = now + kQueryInterval;
        co_await this->AskForChanges();
      }
      co_await this->timer.WaitUntil(now + kLoopInterval);
    }
  }

  // Notifies all other daemons that a runner is about to load weights or has
  // loaded them.
  void AnnouncePause(const RunnerPause& aPause)
  {
    const PeerNotice notice{ NoticeKind::RunnerPause,
                             this->codec.EncodePause(aPause) };
    for (const EntryMember& member : this->Others()) {
      this->SendNotice(member, notice);
    }
  }

  // Notifies other daemons, those of this zone first, of a long prompt that was
  // sent to a runner.
  void AnnounceWork(const RunnerWork& aWork)
  {
    const PeerNotice notice{ NoticeKind::RunnerWork,
                             this->codec.EncodeWork(aWork) };
    std::vector<EntryMember> others = this->Others();
    const AvailabilityZone& zone = this->state.Settings().zone;
    std::stable_partition(
      others.begin(), others.end(), [&zone](const EntryMember& aMember) {
        return aMember.zone == zone;
      });
    others.resize(std::min(others.size(), kMaxWorkPeers));
    for (const EntryMember& member : others) {
      this->SendNotice(member, notice);
    }
  }

  // Sends one daemon the changed parts of holders that it does not follow.
  void SendParts(const HostId& aHost, const std::vector<HeldParts>& aParts)
  {
    const auto member = this->state.members.find(aHost);
    if (member == this->state.members.end()) {
      return;
    }
    for (const auto& message : PartRelay::SplitIntoDatagrams(aParts)) {
      PeerDatagram datagram = this->Datagram();
      for (const HeldParts& parts : message) {
        datagram.notices.push_back(
          { NoticeKind::HeldParts, this->codec.EncodeParts(parts) });
      }
      this->channel.Send(member->second.peerAddress, datagram);
    }
  }

  // Sends new evidence of requests that crash runners to all other daemons at
  // once: their callers send them again within seconds, to any daemon.
  void AnnouncePoison()
  {
    PeerDatagram datagram = this->Datagram();
    for (const PoisonNotice& notice :
         this->state.poison.TakeUrgent(kMaxPoisonNotices)) {
      datagram.notices.push_back(this->codec.EncodePoison(notice));
    }
    if (datagram.notices.empty()) {
      return;
    }
    for (const EntryMember& member : this->Others()) {
      this->channel.Send(member.peerAddress, datagram);
    }
  }

  void OnDatagram(const PeerDatagram& aDatagram)
  {
    for (const PeerNotice& notice : aDatagram.notices) {
      this->HandleNotice(aDatagram.sender.host, notice);
    }
  }

  void ApplyWork(const RunnerWork& aWork)
  {
    const auto runner = this->state.fleet.Find(aWork.runner);
    if (runner == nullptr) {
      return;
    }
    const double milliseconds =
      aWork.tokensToPrefill / this->state.Settings().readTokensPerMs;
    runner->NoteOthersPrefill(FromSeconds(milliseconds / 1'000),
                              this->timer.Now());
  }

  Task<std::optional<PeerAnswer>> OnCall(PeerCall aCall)
  {
    const auto* forwarded = std::get_if<ForwardedCall>(&aCall.body);
    if (forwarded == nullptr ||
        forwarded->kind != ForwardedKind::RegistryChanges) {
      co_return std::nullopt;
    }
    const auto query = this->codec.DecodeQuery(forwarded->payload);
    if (!query) {
      co_return std::nullopt;
    }
    RegistryChanges changes{ this->mirror.Revision(), false, {} };
    if (auto since = this->mirror.ChangesSince(query->revision)) {
      changes.changes = std::move(*since);
    } else {
      changes.full = true;
      for (KeyValueEntry& entry : this->mirror.Items()) {
        changes.changes.push_back({ false, std::move(entry) });
      }
    }
    PeerAnswer answer;
    answer.from = this->state.Settings().host;
    answer.body = ForwardedAnswer{ ForwardedKind::RegistryChanges,
                                   this->codec.EncodeChanges(changes) };
    co_return answer;
  }

private:
  std::vector<EntryMember> Others() const
  {
    std::vector<EntryMember> others;
    for (const auto& [host, member] : this->state.members) {
      if (host != this->state.Settings().host && !member.peerAddress.empty()) {
        others.push_back(member);
      }
    }
    return others;
  }

  void HandleNotice(const HostId& aSender, const PeerNotice& aNotice)
  {
    const TimePoint now = this->timer.Now();
    switch (aNotice.kind) {
      case NoticeKind::RunnerPause:
        if (const auto pause = this->codec.DecodePause(aNotice.payload)) {
          this->ApplyPause(*pause);
        }
        break;
      case NoticeKind::RunnerWork:
        if (const auto work = this->codec.DecodeWork(aNotice.payload)) {
          this->ApplyWork(*work);
        }
        break;
      case NoticeKind::RunnerLoads:
        if (auto loads = this->codec.DecodeLoads(aNotice.payload)) {
          this->peerLoads.Record(aSender, std::move(*loads), now);
          this->peerLoads.ApplyTo(this->state.fleet, now);
        }
        break;
      case NoticeKind::HeldParts:
        if (const auto parts = this->codec.DecodeParts(aNotice.payload)) {
          ApplyHeldParts(this->state, *parts, now);
        }
        break;
      case NoticeKind::Poison:
        if (const auto poison = this->codec.DecodePoison(aNotice)) {
          this->state.poison.MergeNotice(*poison, now);
        }
        break;
      case NoticeKind::Leaving:
        // Entry daemons learn from the registry which runners leave.
        break;
    }
  }

  PeerDatagram Datagram() const
  {
    PeerDatagram datagram;
    datagram.kind = DatagramKind::Notice;
    datagram.sender.host = this->state.Settings().host;
    return datagram;
  }

  void SendNotice(const EntryMember& aMember, const PeerNotice& aNotice)
  {
    PeerDatagram datagram = this->Datagram();
    datagram.notices = { aNotice };
    this->channel.Send(aMember.peerAddress, datagram);
  }

  void SendLoads()
  {
    RunnerLoads loads = LoadsOf(this->state.fleet);
    // An empty report is sent only once.
    if (loads.rows.empty() && this->sentEmptyLoads) {
      return;
    }
    this->sentEmptyLoads = loads.rows.empty();
    if (loads.rows.size() > kMaxLoadRows) {
      std::sort(loads.rows.begin(),
                loads.rows.end(),
                [](const RunnerLoadRow& aLeft, const RunnerLoadRow& aRight) {
                  return aLeft.tokensInFlight > aRight.tokensInFlight;
                });
      loads.rows.resize(kMaxLoadRows);
    }
    const PeerNotice notice{ NoticeKind::RunnerLoads,
                             this->codec.EncodeLoads(loads) };
    const EntrySettings& settings = this->state.Settings();
    for (const EntryMember& member : NearestMembers(
           settings.host, settings.zone, this->Others(), kMaxLoadPeers)) {
      this->SendNotice(member, notice);
    }
  }

  void ApplyPause(const RunnerPause& aPause)
  {
    const auto runner = this->state.fleet.Find(aPause.runner);
    if (runner == nullptr) {
      return;
    }
    const TimePoint now = this->timer.Now();
    runner->pausedUntil = now + aPause.pause;
    if (aPause.loaded > runner->VersionOf(aPause.model)) {
      runner->SetVersion(aPause.model, aPause.loaded);
    }
    this->log.Write(now,
                    LogLevel::Info,
                    "runner pauses",
                    {},
                    { { LogKey::Upstream, aPause.runner },
                      { LogKey::Version, aPause.loaded },
                      { LogKey::Age, aPause.pause } });
  }

  // Asks a randomly chosen daemon for registry changes.
  Task<void> AskForChanges()
  {
    const std::vector<EntryMember> others = this->Others();
    if (others.empty()) {
      co_return;
    }
    const EntryMember& peer = others[this->random() % others.size()];
    PeerCall call;
    call.from = this->state.Settings().host;
    call.body =
      ForwardedCall{ ForwardedKind::RegistryChanges,
                     this->codec.EncodeQuery({ this->mirror.Revision() }) };
    FailureReason reason;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const auto answer =
      co_await this->channel.Call(peer.peerAddress, call, deadline, reason);
    if (!answer) {
      co_return;
    }
    const auto* body = std::get_if<ForwardedAnswer>(&answer->body);
    if (body == nullptr) {
      co_return;
    }
    const auto changes = this->codec.DecodeChanges(body->payload);
    if (!changes || changes->revision <= this->mirror.Revision()) {
      co_return;
    }
    this->log.Write(this->timer.Now(),
                    LogLevel::Info,
                    "registry changes from a peer",
                    {},
                    { { LogKey::Peer, peer.host },
                      { LogKey::Count, changes->changes.size() },
                      { LogKey::Revision, changes->revision } });
    this->watch.ApplyReported(changes->changes, changes->revision);
  }

  EntryState& state;
  W& watch;
  const ItemMirror& mirror;
  P& channel;
  const C& codec;
  T& timer;
  L& log;
  PeerLoads peerLoads;
  std::mt19937_64 random;
  TimePoint loadsAt;
  TimePoint queryAt;
  bool sentEmptyLoads = false;
};

} // namespace wigeonwalk
