// Propagates accepted documents to every daemon.
//
//   DocumentPropagation propagation(ports, targets, table, store, clock, 7);
//   propagation.Start();
//   // for each datagram that arrives:
//   propagation.OnProbe(datagram);
#pragma once

#include "wigeonwalk/base/hybrid_clock.h"
#include "wigeonwalk/documents/document_store.h"
#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/documents/push_targets.h"
#include "wigeonwalk/documents/stored_document.h"
#include "wigeonwalk/membership/member_table.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/peer_channel.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wigeonwalk {

// Timing and sizes of propagation; see section 5.6 of the design page.
struct PropagationSettings
{
  std::size_t watchersPerZone = 2;
  // Maximum duration of one watch call.
  Duration watchTimeout = std::chrono::seconds(20);
  // Interval at which a watcher reads all documents, which confirms that they
  // are current and finds changes missed by a watch on a dead connection.
  Duration readInterval = std::chrono::minutes(5);
  // The same for a daemon without contact to any peer.
  Duration isolatedReadInterval = std::chrono::seconds(30);
  // After this long without contact to peers, a daemon calls the key-value
  // service once every contactInterval. A healthy daemon almost never does so,
  // since its failure detector has probed another peer by then. The sum of both
  // is less than kFailHealthCheckAfter.
  Duration peerContactTimeout = std::chrono::milliseconds(3500);
  Duration contactInterval = std::chrono::seconds(1);
  Duration callTimeout = std::chrono::seconds(1);
  // Number of peers that a daemon asks for documents, one after another, if it
  // starts during an outage of the key-value service.
  std::size_t maxStartPeers = 5;
  // Maximum bytes of document texts in one answer to a fetch.
  std::size_t maxBundleBytes = 1024 * 1024;
  // Whether a different digest on a probe triggers a fetch.
  bool antiEntropy = true;
};

// The source from which a daemon learned of a document.
enum class LearnedFrom
{
  Acceptance,
  KeyValue,
  Push,
  Fetch,
};

template<>
struct EnumNames<LearnedFrom>
{
  static constexpr std::array<EnumName<LearnedFrom>, 4> kTable{ {
    { LearnedFrom::Acceptance, "acceptance" },
    { LearnedFrom::KeyValue, "key-value" },
    { LearnedFrom::Push, "push" },
    { LearnedFrom::Fetch, "fetch" },
  } };
};
static_assert(HasCompleteTable<LearnedFrom>());

// Counters since the start of the daemon, for metrics.
struct PropagationCounters
{
  std::array<std::uint64_t, EnumNames<LearnedFrom>::kTable.size()> learned{};
  std::uint64_t pushes = 0;
  std::uint64_t pushesFailed = 0;
  std::uint64_t fetches = 0;
  std::uint64_t fetchesFailed = 0;
  std::uint64_t rejected = 0;
  // Reads of a lower revision than the known one from the key-value service:
  // either the read raced with an edit, or the service has lost documents.
  std::uint64_t lowerRevisions = 0;
};

// The ports that propagation uses, by reference.
template<Timer T,
         PeerChannel C,
         TaskSpawner S,
         KeyValueService K,
         DocumentCodec D,
         EventSink E>
struct PropagationPorts
{
  T& timer;
  C& channel;
  S& spawner;
  K& keyValue;
  D& codec;
  E& events;
};

template<typename Ports, PushTargets P>
class DocumentPropagation
{
public:
  DocumentPropagation(Ports aPorts,
                      P aTargets,
                      const MemberTable& aTable,
                      DocumentStore& aStore,
                      HybridClock& aClock,
                      std::uint64_t aSeed,
                      PropagationSettings aSettings = {});

  // Starts the coroutines that load and watch documents and check the contact
  // to the key-value service.
  void Start();

  // Makes the coroutines end after their present wait.
  void Stop() { this->stopping = true; }

  // Compares the digest on a datagram with this daemon's documents.
  void OnProbe(const PeerDatagram& aDatagram);

  // Records the answer to a probe that was sent at `aProbedAt`. A peer with
  // newer documents counts as contact only after they have been fetched.
  void OnContact(const PeerDatagram& aAnswer, TimePoint aProbedAt);

  DocumentBundle OnFetch(const DocumentFetch& aFetch) const;
  DocumentPushAnswer OnPush(const DocumentPush& aPush);

  // Stores and pushes a document that this daemon has just accepted.
  void OnAccepted(const DocumentCopy& aCopy);

  Freshness CurrentFreshness() const;
  const PropagationCounters& Counters() const { return this->counters; }

private:
  Task<void> RunStart();
  Task<void> RunWatch();
  Task<void> RunContactCheck();
  Task<void> RunFetch(std::string aAddress);
  Task<void> PushOne(MemberUpdate aTo, DocumentCopy aCopy);
  Task<bool> ReadAll();
  Task<bool> WatchOnce();
  Task<bool> FetchFrom(std::string aAddress);
  Task<void> Pause(Duration aMean);

  void Push(const DocumentCopy& aCopy);
  bool Learn(const DocumentCopy& aCopy, LearnedFrom aFrom);
  void LearnEntry(const KeyValueEntry& aEntry);
  void RecordKeyValueContact(bool aReached);
  void ConfirmFromPeer(const DocumentDigest& aTheirs,
                       const HybridTime& aSentAt);
  void RecordPeerContact(TimePoint aTime);
  bool IsWatcher();
  bool IsPeerContactOverdue() const;

  Ports ports;
  P targets;
  const MemberTable& table;
  DocumentStore& store;
  HybridClock& clock;
  PropagationSettings settings;
  std::mt19937_64 random;
  PropagationCounters counters;
  bool stopping = false;
  bool loaded = false;
  bool fetching = false;
  bool keyValueReached = true;
  std::optional<TimePoint> keyValueContact;
  std::optional<TimePoint> peerContact;
  // Revision of the key-value service at which the next watch starts; zero if
  // all documents must be read first.
  std::int64_t nextRevision = 0;
  // Start of the last complete read.
  TimePoint lastReadAt;
  // Cached result of IsWatcher, and the version of the live members it is for.
  std::optional<std::uint64_t> watcherVersion;
  bool watcher = false;
};

} // namespace wigeonwalk

#include "wigeonwalk/documents/internal/document_propagation_impl.h"
