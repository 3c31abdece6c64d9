// Exchanges notices with the other entry daemons, and answers their calls.
//
//   PeerExchange peers(state, relay, channel, codec, timer, log);
//   peers.AnnouncePause(pause);
//   spawn(peers.Run());
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/held_parts.h"
#include "wigeonwalk/entry/notice_limits.h"
#include "wigeonwalk/entry/origin_exchange.h"
#include "wigeonwalk/entry/part_relay.h"
#include "wigeonwalk/entry/part_reporter.h"
#include "wigeonwalk/fleet/peer_loads.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Answers other daemons' queries for registry changes. The payloads are
// encoded.
template<typename T>
concept ChangeSource = requires(const T& aSource, const std::string& aQuery)
{
  {
    aSource.Answer(aQuery)
    } -> std::same_as<std::optional<std::string>>;
};

// Sends loads to daemons of the same zone, which use the same runners, pauses
// to all daemons, and marks of leaving runners to a few that pass them on. One
// task, and one for each call of another daemon.
template<ChangeSource R,
         PeerChannel P,
         EntryNoticeCodec C,
         Timer T,
         StructuredLog L>
class PeerExchange
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kMaxPoisonNotices = 8;
  // Longest time for which an announced prompt is booked at its runner.
  static constexpr Duration kMaxExpectedRun = std::chrono::seconds(10);
  // How many times the expected run it is booked if its end is not told.
  static constexpr int kLostEndFactor = 4;

  PeerExchange(EntryState& aState,
               const R& aRelay,
               P& aChannel,
               const C& aCodec,
               T& aTimer,
               L& aLog)
    : state(aState)
    , relay(aRelay)
    , channel(aChannel)
    , codec(aCodec)
    , timer(aTimer)
    , log(aLog)
    , partReporter(aState, aChannel, aCodec, aTimer, aLog)
    , origins(aState, aChannel, aCodec, aTimer)
  {
  }

  Task<void> Run()
  {
    while (true) {
      const TimePoint now = this->timer.Now();
      if (now >= this->loadsAt) {
        this->loadsAt = now + kLoadReportInterval;
        this->SendLoads();
        this->ApplyLoads(now);
      }
      this->SendLeaving(now);
      this->origins.AnnounceChanged();
      this->partReporter.Report();
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

  // Notifies other daemons that a long prompt was sent to a runner or that its
  // run has ended: those of the runner's zone first, which use it most.
  void AnnounceWork(const RunnerWork& aWork)
  {
    const bool isEnd = aWork.tokensToPrefill == 0;
    if (isEnd && !this->TellsAll()) {
      return;
    }
    const std::size_t told =
      this->TellsAll() ? kMaxDaemonsToldAll : kMaxWorkPeers;
    const PeerNotice notice{ NoticeKind::RunnerWork,
                             this->codec.EncodeWork(aWork) };
    const EntrySettings& settings = this->state.Settings();
    const auto runner = this->state.fleet.Find(aWork.runner);
    const AvailabilityZone& zone =
      runner == nullptr ? settings.zone : runner->entry.zone;
    for (const EntryMember& member :
         NearestMembers(settings.host, zone, this->Others(), told)) {
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
    this->partReporter.Report();
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

  // Tells the daemons that keep it where a stream began.
  void AnnounceOrigin(const StreamRecord& aRecord)
  {
    this->origins.Announce(aRecord);
  }

  // Asks the daemons that keep it where a stream began.
  Task<std::optional<StreamOrigin>> AskOrigin(Hash128 aKey)
  {
    return this->origins.Ask(aKey);
  }

  void OnDatagram(const PeerDatagram& aDatagram)
  {
    for (const PeerNotice& notice : aDatagram.notices) {
      this->HandleNotice(aDatagram.sender.host, notice);
    }
  }

  void ApplyWork(const HostId& aSender, const RunnerWork& aWork)
  {
    const auto runner = this->state.fleet.Find(aWork.runner);
    if (runner == nullptr) {
      return;
    }
    const TimePoint now = this->timer.Now();
    // Of a large zone, each daemon hears only a part of the announcements.
    const std::size_t others =
      this->state.Shares().CountIn(runner->entry.zone) - 1;
    const std::uint32_t daemons =
      this->TellsAll() ? 1 : AnnouncementsOf(others, kMaxWorkPeers);
    const double milliseconds =
      daemons * aWork.tokensToPrefill / this->state.Settings().readTokensPerMs;
    runner->NoteOthersPrefill(FromSeconds(milliseconds / 1'000), now);
    // If ends are told, only a lost one leaves the booking to its time.
    const Duration run =
      aWork.expectedRun * (this->TellsAll() ? kLostEndFactor : 1);
    const TimePoint until =
      now + std::clamp(run, Duration(0), Duration(kMaxExpectedRun));
    this->peerLoads.Book(aSender,
                         { aWork.runner,
                           daemons * aWork.atRunner.tokens,
                           daemons * aWork.atRunner.count,
                           until },
                         this->state.fleet);
  }

  Task<std::optional<PeerAnswer>> OnCall(PeerCall aCall)
  {
    const auto* forwarded = std::get_if<ForwardedCall>(&aCall.body);
    if (forwarded == nullptr) {
      co_return std::nullopt;
    }
    std::optional<std::string> payload;
    if (forwarded->kind == ForwardedKind::RegistryChanges) {
      payload = this->relay.Answer(forwarded->payload);
    } else if (forwarded->kind == ForwardedKind::StreamOrigin) {
      payload = this->origins.Answer(forwarded->payload);
    }
    if (!payload) {
      co_return std::nullopt;
    }
    PeerAnswer answer;
    answer.from = this->state.Settings().host;
    answer.body = ForwardedAnswer{ forwarded->kind, std::move(*payload) };
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

  // Returns true if all daemons are told of all long prompts.
  bool TellsAll() const
  {
    return this->state.DaemonCount() <= kMaxDaemonsToldAll;
  }

  void ApplyLoads(TimePoint aNow)
  {
    const std::size_t others = this->state.DaemonCount() - 1;
    this->peerLoads.ApplyTo(
      this->state.fleet,
      { this->state.members, this->Scope(), std::min(others, kMaxLoadPeers) },
      aNow);
  }

  // Long prompts are reported where their ends are not told.
  ReportScope Scope() const
  {
    return this->TellsAll() ? ReportScope::ShortRequests : ReportScope::All;
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
          this->ApplyWork(aSender, *work);
        }
        break;
      case NoticeKind::RunnerLoads:
        if (auto loads = this->codec.DecodeLoads(aNotice.payload)) {
          this->peerLoads.Record(
            aSender, std::move(*loads), this->Scope(), now);
          this->ApplyLoads(now);
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
      case NoticeKind::PartEvidence:
        if (const auto part = this->codec.DecodePartEvidence(aNotice.payload)) {
          this->partReporter.OnEvidence(aSender, *part);
        }
        break;
      case NoticeKind::PartEvidenceQuery:
        this->partReporter.OnQuery(aSender);
        break;
      case NoticeKind::StreamOrigin:
        this->origins.OnNotice(aNotice);
        break;
      case NoticeKind::Leaving:
        if (const auto leaving = this->codec.DecodeLeaving(aNotice)) {
          this->ApplyLeaving(*leaving, now);
        }
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
    RunnerLoads loads = LoadsOf(this->state.fleet, this->Scope());
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

  void ApplyLeaving(const LeavingNotice& aNotice, TimePoint aNow)
  {
    if (const auto runner = this->state.MergeLeaving(aNotice)) {
      LogLeaving(
        this->log, this->state, runner->entry, LeavingCause::Peer, aNow);
    }
  }

  // Passes on new marks of leaving runners to a few daemons, which do the same,
  // and all marks to one daemon at a time.
  void SendLeaving(TimePoint aNow)
  {
    for (int i = 0; i < kLeavingFanout; ++i) {
      this->SendMarks(this->state.leaving.TakeNotices(kMaxLeavingMarks));
    }
    if (aNow < this->leavingAt) {
      return;
    }
    this->leavingAt = aNow + kLeavingReportInterval;
    this->state.ExpireLeaving(aNow);
    auto marks = this->state.RegisteredLeaving();
    if (marks.size() > kMaxLeavingMarks) {
      // The next report begins with other marks.
      const std::size_t first = this->reportedMarks % marks.size();
      std::rotate(marks.begin(),
                  marks.begin() + static_cast<std::ptrdiff_t>(first),
                  marks.end());
      marks.resize(kMaxLeavingMarks);
      this->reportedMarks += kMaxLeavingMarks;
    }
    this->SendMarks(marks);
  }

  void SendMarks(const std::vector<LeavingNotice>& aMarks)
  {
    if (aMarks.empty()) {
      return;
    }
    const std::vector<EntryMember> others = this->Others();
    if (others.empty()) {
      return;
    }
    PeerDatagram datagram = this->Datagram();
    for (const LeavingNotice& mark : aMarks) {
      datagram.notices.push_back(this->codec.EncodeLeaving(mark));
    }
    const std::size_t receiver = this->NextReceiver(others.size());
    this->channel.Send(others[receiver].peerAddress, datagram);
  }

  // Returns the index of the next daemon to tell. In a small cluster each has
  // its turn; in a large one the choice is random, so that the receivers of any
  // two daemons differ.
  std::size_t NextReceiver(std::size_t aCount)
  {
    const std::size_t round = this->receiverRound++;
    if (aCount <= NoticeQueue<LeavingNotice>::kMaxSends) {
      return round % aCount;
    }
    return HashBytes(this->state.Settings().host.Text(), round).low % aCount;
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

  EntryState& state;
  const R& relay;
  P& channel;
  const C& codec;
  T& timer;
  L& log;
  PartReporter<P, C, T, L> partReporter;
  OriginExchange<P, C, T> origins;
  PeerLoads peerLoads;
  TimePoint loadsAt;
  TimePoint leavingAt;
  // Marks in earlier reports.
  std::size_t reportedMarks = 0;
  std::size_t receiverRound = 0;
  bool sentEmptyLoads = false;
};

} // namespace wigeonwalk
