// Messages between daemons. Their encoding is in adapters/peer.
//
// Datagrams carry probes with piggybacked membership updates and notices; calls
// carry a request and its answer over a connection.
//
//   PeerDatagram probe{ .kind = DatagramKind::Probe, .sender = self };
//   channel.Send(address, probe);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/hybrid_clock.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wigeonwalk {

// State of a daemon as another daemon sees it. For the same incarnation, a
// value further down this list overrides one further up.
enum class MemberState
{
  Alive,
  Suspect,
  Lost,
  Left,
};

template<>
struct EnumNames<MemberState>
{
  static constexpr std::array<EnumName<MemberState>, 4> kTable{ {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Lost, "lost" },
    { MemberState::Left, "left" },
  } };
};
static_assert(HasCompleteTable<MemberState>());

// State of one daemon, as gossiped between daemons.
struct MemberUpdate
{
  HostId host;
  // "IP:port" of its listener for other daemons.
  std::string address;
  AvailabilityZone zone;
  std::string region;
  // Increases with each start of the daemon and each refuted suspicion.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;

  bool operator==(const MemberUpdate&) const = default;
};

// Digest of the documents that are in force on a daemon.
struct DocumentDigest
{
  // Sum of all revisions. Of two daemons with different hashes, the one with
  // the lower sum is missing a revision that the other has.
  std::uint64_t revisionSum = 0;
  std::uint64_t hash = 0;
  // Age, at sending, of the confirmation by the key-value service up to which
  // the sender knows all documents; Duration::max() if there was none.
  Duration confirmedAge = Duration::max();

  bool operator==(const DocumentDigest&) const = default;
};

// Kinds of notices piggybacked on probes. The module that owns a kind encodes
// its payload.
enum class NoticeKind
{
  Poison,
  Leaving,
  RunnerPause,
  RunnerLoads,
  RunnerWork,
  HeldParts,
  PartEvidence,
  PartEvidenceQuery,
  StreamOrigin,
};

template<>
struct EnumNames<NoticeKind>
{
  static constexpr std::array<EnumName<NoticeKind>, 9> kTable{ {
    { NoticeKind::Poison, "poison" },
    { NoticeKind::Leaving, "leaving" },
    { NoticeKind::RunnerPause, "runner-pause" },
    { NoticeKind::RunnerLoads, "runner-loads" },
    { NoticeKind::RunnerWork, "runner-work" },
    { NoticeKind::HeldParts, "held-parts" },
    { NoticeKind::PartEvidence, "part-evidence" },
    { NoticeKind::PartEvidenceQuery, "part-evidence-query" },
    { NoticeKind::StreamOrigin, "stream-origin" },
  } };
};
static_assert(HasCompleteTable<NoticeKind>());

// One piggybacked notice, about 32 bytes.
struct PeerNotice
{
  NoticeKind kind = NoticeKind::Poison;
  std::string payload;

  bool operator==(const PeerNotice&) const = default;
};

// What a datagram asks of its receiver.
enum class DatagramKind
{
  // Answer with a ProbeAck of the same sequence number.
  Probe,
  ProbeAck,
  // Probe `target` and forward its ProbeAck.
  ProbeRequest,
  // Process the piggybacked data; no answer is expected.
  Notice,
};

template<>
struct EnumNames<DatagramKind>
{
  static constexpr std::array<EnumName<DatagramKind>, 4> kTable{ {
    { DatagramKind::Probe, "probe" },
    { DatagramKind::ProbeAck, "probe-ack" },
    { DatagramKind::ProbeRequest, "probe-request" },
    { DatagramKind::Notice, "notice" },
  } };
};
static_assert(HasCompleteTable<DatagramKind>());

// One datagram. It contains the sender's own update, so that a receiver can
// answer a daemon that it does not know yet.
struct PeerDatagram
{
  DatagramKind kind = DatagramKind::Probe;
  MemberUpdate sender;
  HybridTime sentAt;
  std::uint64_t sequence = 0;
  // The daemon that a ProbeRequest asks to probe.
  HostId target;
  std::string targetAddress;
  DocumentDigest documents;
  std::vector<MemberUpdate> updates;
  std::vector<PeerNotice> notices;

  bool operator==(const PeerDatagram&) const = default;
};

// Asks for all members that the receiver knows.
struct MemberSync
{
  MemberUpdate sender;

  bool operator==(const MemberSync&) const = default;
};

struct MemberList
{
  std::vector<MemberUpdate> members;

  bool operator==(const MemberList&) const = default;
};

// One service's document as sent between daemons: its text, not the parsed
// form.
struct DocumentCopy
{
  ServiceName service;
  std::uint64_t revision = 0;
  std::string editId;
  std::string text;

  bool operator==(const DocumentCopy&) const = default;
};

// The revision that a daemon has of one service's document.
struct DocumentVersion
{
  ServiceName service;
  std::uint64_t revision = 0;

  bool operator==(const DocumentVersion&) const = default;
};

// Asks for every document newer than the listed versions.
struct DocumentFetch
{
  std::vector<DocumentVersion> known;

  bool operator==(const DocumentFetch&) const = default;
};

struct DocumentBundle
{
  std::vector<DocumentCopy> documents;
  // Of all documents that the answering daemon has.
  DocumentDigest digest;

  bool operator==(const DocumentBundle&) const = default;
};

// Sends a document that the sender has just received.
struct DocumentPush
{
  DocumentCopy document;

  bool operator==(const DocumentPush&) const = default;
};

// Whether the document of a DocumentPush was new to its receiver.
struct DocumentPushAnswer
{
  bool wasNew = false;

  bool operator==(const DocumentPushAnswer&) const = default;
};

// Calls whose payload is encoded by the module that owns them.
enum class ForwardedKind
{
  ClaimAppend,
  DirectoryLookup,
  DirectoryUpdate,
  DemandReport,
  Timeline,
  RegistryChanges,
  StreamOrigin,
};

template<>
struct EnumNames<ForwardedKind>
{
  static constexpr std::array<EnumName<ForwardedKind>, 7> kTable{ {
    { ForwardedKind::ClaimAppend, "claim-append" },
    { ForwardedKind::DirectoryLookup, "directory-lookup" },
    { ForwardedKind::DirectoryUpdate, "directory-update" },
    { ForwardedKind::DemandReport, "demand-report" },
    { ForwardedKind::Timeline, "timeline" },
    { ForwardedKind::RegistryChanges, "registry-changes" },
    { ForwardedKind::StreamOrigin, "stream-origin" },
  } };
};
static_assert(HasCompleteTable<ForwardedKind>());

struct ForwardedCall
{
  ForwardedKind kind = ForwardedKind::ClaimAppend;
  std::string payload;

  bool operator==(const ForwardedCall&) const = default;
};

// Answer to a ForwardedCall. The payload is, by kind, for example an encoded
// ClaimAnswer, directory rows or an Allotment.
struct ForwardedAnswer
{
  ForwardedKind kind = ForwardedKind::ClaimAppend;
  std::string payload;

  bool operator==(const ForwardedAnswer&) const = default;
};

// One call from a daemon to another.
struct PeerCall
{
  HostId from;
  HybridTime sentAt;
  std::variant<MemberSync, DocumentFetch, DocumentPush, ForwardedCall> body;

  bool operator==(const PeerCall&) const = default;
};

// The answer to a PeerCall. The alternatives of `body` are in the same order as
// those of PeerCall.
struct PeerAnswer
{
  HostId from;
  HybridTime sentAt;
  std::variant<MemberList, DocumentBundle, DocumentPushAnswer, ForwardedAnswer>
    body;

  bool operator==(const PeerAnswer&) const = default;
};

} // namespace wigeonwalk
