// Exchanges evidence about parts of prompts that crash runners with the other
// entry daemons.
//
//   PartReporter reporter(state, channel, codec, timer, log);
//   reporter.Report();                       // repeatedly, and on new evidence
//   reporter.OnEvidence(sender, notice);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// A first crash is told to a few daemons only, which collect the evidence about
// a part and tell all daemons once it is suspected. A daemon that has just
// started asks for what the others know.
template<PeerChannel P, EntryNoticeCodec C, Timer T, StructuredLog L>
class PartReporter
{
public:
  // Daemons that collect the evidence about one part.
  static constexpr std::size_t kCollectors = 3;
  // Notices in one datagram; they fit into its maximum size.
  static constexpr std::size_t kMaxNotices = 8;
  // Datagrams of one report to one daemon.
  static constexpr std::size_t kMaxDatagrams = 4;
  // How often a daemon asks after its start, and for how many daemons' answers.
  static constexpr int kQueries = 3;
  static constexpr Duration kQueryInterval = std::chrono::seconds(1);
  static constexpr std::size_t kQueriedDaemons = 3;

  PartReporter(EntryState& aState,
               P& aChannel,
               const C& aCodec,
               T& aTimer,
               L& aLog)
    : state(aState)
    , channel(aChannel)
    , codec(aCodec)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Sends the evidence that is due, and logs what was found.
  void Report()
  {
    const TimePoint now = this->timer.Now();
    this->LogFindings(now);
    this->Query(now);
    std::vector<PartNotice> forAll;
    std::map<HostId, std::vector<PartNotice>> byHost;
    for (const PartReport& report : this->state.partCrashes.TakeReports(now)) {
      if (report.audience == PartAudience::All) {
        forAll.push_back(report.notice);
        continue;
      }
      for (const HostId& host : this->CollectorsOf(report.notice.part.hash)) {
        byHost[host].push_back(report.notice);
      }
    }
    for (const auto& [host, notices] : byHost) {
      this->Send(host, this->Encode(notices));
    }
    const std::vector<PeerDatagram> datagrams = this->Encode(forAll);
    for (const auto& [host, member] : this->state.members) {
      this->Send(host, datagrams);
    }
  }

  void OnEvidence(const HostId& aSender, const PartNotice& aNotice)
  {
    const TimePoint now = this->timer.Now();
    const auto collectors = this->CollectorsOf(aNotice.part.hash);
    const bool isCollector =
      std::find(collectors.begin(),
                collectors.end(),
                this->state.Settings().host) != collectors.end();
    switch (this->state.partCrashes.Merge(aNotice, isCollector, now)) {
      case PartReply::None:
        break;
      case PartReply::Answer:
      case PartReply::Evidence:
        this->Send(aSender,
                   this->Encode(this->state.partCrashes.EvidenceOf(
                     aNotice.part.hash, now)));
        break;
    }
    this->LogFindings(now);
  }

  void OnQuery(const HostId& aSender)
  {
    this->Send(
      aSender,
      this->Encode(this->state.partCrashes.AllEvidence(this->timer.Now())));
  }

private:
  std::vector<HostId> CollectorsOf(const Hash128& aPart) const
  {
    std::vector<HostId> hosts;
    for (const auto& [host, member] : this->state.members) {
      hosts.push_back(host);
    }
    return RankOwners(aPart.ToHex(), hosts, kCollectors);
  }

  std::vector<PeerDatagram> Encode(
    const std::vector<PartNotice>& aNotices) const
  {
    std::vector<PeerDatagram> datagrams;
    std::size_t count = 0;
    for (const PartNotice& notice : aNotices) {
      if (count++ % kMaxNotices == 0) {
        if (datagrams.size() == kMaxDatagrams) {
          break;
        }
        datagrams.push_back(this->Datagram());
      }
      datagrams.back().notices.push_back(
        { NoticeKind::PartEvidence, this->codec.EncodePartEvidence(notice) });
    }
    return datagrams;
  }

  PeerDatagram Datagram() const
  {
    PeerDatagram datagram;
    datagram.kind = DatagramKind::Notice;
    datagram.sender.host = this->state.Settings().host;
    return datagram;
  }

  // Sends datagrams to another daemon; nothing if the host is this one.
  void Send(const HostId& aHost, const std::vector<PeerDatagram>& aDatagrams)
  {
    const auto member = this->state.members.find(aHost);
    if (aHost == this->state.Settings().host ||
        member == this->state.members.end() ||
        member->second.peerAddress.empty()) {
      return;
    }
    for (const PeerDatagram& datagram : aDatagrams) {
      this->channel.Send(member->second.peerAddress, datagram);
    }
  }

  // After the start, asks the daemons that follow this one in the order of
  // their names.
  void Query(TimePoint aNow)
  {
    const auto& members = this->state.members;
    if (this->queries == kQueries || aNow < this->queryAt || members.empty()) {
      return;
    }
    ++this->queries;
    this->queryAt = aNow + kQueryInterval;
    PeerDatagram query = this->Datagram();
    query.notices = { { NoticeKind::PartEvidenceQuery, std::string() } };
    auto next = members.upper_bound(this->state.Settings().host);
    for (std::size_t i = 0; i < std::min(kQueriedDaemons, members.size());
         ++i) {
      next = next == members.end() ? members.begin() : next;
      this->Send(next->first, { query });
      ++next;
    }
  }

  void LogFindings(TimePoint aNow)
  {
    for (const PartFinding& finding : this->state.partCrashes.TakeFindings()) {
      const LogField part = LogField::Name(LogKey::Part, finding.part.ToHex());
      const LogField crashes(LogKey::Count, finding.crashes);
      switch (finding.status) {
        case PartStatus::Refused:
          this->log.Write(aNow,
                          LogLevel::Warning,
                          "prompt part crashes runners",
                          {},
                          { part, crashes });
          break;
        case PartStatus::Suspected:
          this->log.Write(aNow,
                          LogLevel::Info,
                          "prompt part suspected",
                          {},
                          { part, crashes });
          break;
        case PartStatus::Clear:
          this->log.Write(
            aNow, LogLevel::Info, "prompt part cleared", {}, { part });
          break;
      }
    }
  }

  EntryState& state;
  P& channel;
  const C& codec;
  T& timer;
  L& log;
  int queries = 0;
  TimePoint queryAt;
};

} // namespace wigeonwalk
