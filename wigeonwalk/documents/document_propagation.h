// Brings accepted documents into force in every daemon.
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

// Times and sizes of propagation; see section 5.6 of the design page.
struct PropagationSettings
{
  std::size_t watchersPerZone = 2;
  // Longest wait of one watch.
  Duration watchTime = std::chrono::seconds(20);
  // Interval at which a watcher reads everything. It confirms the documents
  // and finds what a watch on a silent connection has missed.
  Duration readInterval = std::chrono::minutes(5);
  // The same without contact to any peer.
  Duration aloneReadInterval = std::chrono::seconds(30);
  // Without contact to peers for this long, the key-value service is asked
  // once an interval. The failure detector has probed another peer by then, so
  // that in good health the fleet asks next to nothing; both together stay
  // below kFailHealthCheckAfter.
  Duration quietTime = std::chrono::milliseconds(3500);
  Duration contactInterval = std::chrono::seconds(1);
  Duration callTimeout = std::chrono::seconds(1);
  // Peers asked at a start during an outage, one after another.
  std::size_t startPeers = 5;
  // Bytes of texts in one answer to a fetch.
  std::size_t bundleBytes = 1024 * 1024;
  // Whether digests on probes lead to fetches.
  bool antiEntropy = true;
};

// Where a document was learned from.
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

// Counts since the start, for metrics.
struct PropagationCounters
{
  std::array<std::uint64_t, EnumNames<LearnedFrom>::kTable.size()> learned{};
  std::uint64_t pushes = 0;
  std::uint64_t pushesFailed = 0;
  std::uint64_t fetches = 0;
  std::uint64_t fetchesFailed = 0;
  std::uint64_t rejected = 0;
  // The key-value service showed a lower revision than the known one: a read
  // that raced with an edit, or a service that has lost documents.
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

  // Starts the coroutines that load, watch and stay in contact.
  void Start();

  // Ends them within one wait.
  void Stop() { this->stopping = true; }

  // Compares the digest on a datagram with the own documents.
  void OnProbe(const PeerDatagram& aDatagram);

  // Takes note of an answer to a probe that was sent at a time. A peer that has
  // newer documents counts as contact only after they have been fetched.
  void OnContact(const PeerDatagram& aAnswer, TimePoint aProbedAt);

  DocumentBundle OnFetch(const DocumentFetch& aFetch) const;
  DocumentPushAnswer OnPush(const DocumentPush& aPush);

  // Takes a document that this daemon has just accepted.
  void OnAccepted(const DocumentCopy& aCopy);

  Freshness CurrentFreshness() const;
  const PropagationCounters& Counters() const { return this->counters; }

private:
  Task<void> RunStart();
  Task<void> RunWatch();
  Task<void> RunContact();
  Task<void> RunFetch(std::string aAddress);
  Task<void> PushOne(MemberUpdate aTo, DocumentCopy aCopy);
  Task<bool> ReadAll();
  Task<bool> WatchOnce();
  Task<bool> FetchFrom(std::string aAddress);
  Task<void> Pause(Duration aMean);

  void Push(const DocumentCopy& aCopy);
  bool Learn(const DocumentCopy& aCopy, LearnedFrom aFrom);
  void LearnEntry(const KeyValueEntry& aEntry);
  void NoteKeyValue(bool aReached);
  void ConfirmBy(const DocumentDigest& aTheirs, const HybridTime& aSentAt);
  void NoteContact(TimePoint aTime);
  bool IsWatcher();
  bool PeersQuiet() const;

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
  // Where the next watch goes on; zero before everything was read.
  std::int64_t nextRevision = 0;
  // When the last complete read began.
  TimePoint lastRead;
  // The answer of IsWatcher for one version of the live members.
  std::optional<std::uint64_t> watcherVersion;
  bool watcher = false;
};

} // namespace wigeonwalk

#include "wigeonwalk/documents/internal/document_propagation_impl.h"
