// Definitions of document_propagation.h; included by it only.
#pragma once

#include "wigeonwalk/documents/document_propagation.h"
#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wigeonwalk {

template<typename Ports, PushTargets P>
DocumentPropagation<Ports, P>::DocumentPropagation(
  Ports aPorts,
  P aTargets,
  const MemberTable& aTable,
  DocumentStore& aStore,
  HybridClock& aClock,
  std::uint64_t aSeed,
  PropagationSettings aSettings)
  : ports(aPorts)
  , targets(std::move(aTargets))
  , table(aTable)
  , store(aStore)
  , clock(aClock)
  , settings(aSettings)
  , random(aSeed)
{
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::Start()
{
  this->ports.spawner.Spawn(this->RunStart());
  this->ports.spawner.Spawn(this->RunContactCheck());
}

// Loads all documents from the key-value service, or from peers during its
// outage, and then watches for changes.
template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::RunStart()
{
  while (!this->loaded && !this->stopping) {
    this->loaded = co_await this->ReadAll();
    const auto peers = RandomFanOut{ this->settings.maxStartPeers }.Choose(
      this->table, this->random);
    for (std::size_t i = 0; !this->loaded && i < peers.size(); ++i) {
      this->loaded = co_await this->FetchFrom(peers[i].address);
    }
    if (!this->loaded) {
      co_await this->Pause(std::chrono::seconds(1));
    }
  }
  co_await this->RunWatch();
}

// Watches for changes while this daemon is one of the watchers of its zone.
template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::RunWatch()
{
  constexpr Duration kInitialPause = std::chrono::milliseconds(500);
  constexpr Duration kMaxPause = std::chrono::seconds(5);
  Duration pause = kInitialPause;
  while (!this->stopping) {
    if (!this->IsWatcher()) {
      this->nextRevision = 0;
      co_await this->Pause(std::chrono::seconds(1));
      continue;
    }
    const TimePoint nextRead = this->lastReadAt + this->settings.readInterval;
    const bool due = this->ports.timer.Now() >= nextRead;
    const bool done = this->nextRevision == 0 || due
                        ? co_await this->ReadAll()
                        : co_await this->WatchOnce();
    if (done) {
      pause = kInitialPause;
      continue;
    }
    this->nextRevision = 0;
    co_await this->Pause(pause);
    pause = std::min(2 * pause, kMaxPause);
  }
}

// Calls the key-value service to maintain contact while no peer is in contact.
// An answer counts only if all documents were read within isolatedReadInterval,
// since a process that was paused reaches the service before it knows which
// edits were accepted meanwhile; otherwise they are read now.
template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::RunContactCheck()
{
  while (!this->stopping) {
    co_await this->Pause(this->settings.contactInterval);
    if (!this->IsPeerContactOverdue()) {
      continue;
    }
    const TimePoint now = this->ports.timer.Now();
    if (now - this->lastReadAt >= this->settings.isolatedReadInterval) {
      co_await this->ReadAll();
      continue;
    }
    FailureReason reason;
    const std::string key = kDocumentPrefix;
    const auto read = co_await this->ports.keyValue.Get(
      key, now + this->settings.callTimeout, reason);
    this->RecordKeyValueContact(read.has_value());
  }
}

// Reads all documents, and confirms them as of the start of the read.
template<typename Ports, PushTargets P>
Task<bool>
DocumentPropagation<Ports, P>::ReadAll()
{
  const TimePoint startedAt = this->ports.timer.Now();
  FailureReason reason;
  const std::string prefix = kDocumentPrefix;
  const auto entries = co_await this->ports.keyValue.List(
    prefix, startedAt + 2 * this->settings.callTimeout, reason);
  this->RecordKeyValueContact(entries.has_value());
  if (!entries) {
    co_return false;
  }
  std::int64_t newest = 0;
  for (const KeyValueEntry& entry : *entries) {
    newest = std::max(newest, entry.modRevision);
    this->LearnEntry(entry);
  }
  this->nextRevision = newest + 1;
  this->lastReadAt = startedAt;
  this->store.Confirm(startedAt);
  co_return true;
}

template<typename Ports, PushTargets P>
Task<bool>
DocumentPropagation<Ports, P>::WatchOnce()
{
  const TimePoint now = this->ports.timer.Now();
  const TimePoint until =
    std::min(now + this->settings.watchTimeout,
             this->lastReadAt + this->settings.readInterval);
  FailureReason reason;
  const std::string prefix = kDocumentPrefix;
  const auto batch = co_await this->ports.keyValue.Watch(
    prefix, this->nextRevision, until, reason);
  if (!batch) {
    this->RecordKeyValueContact(false);
    co_return false;
  }
  // A watch on a dead connection also ends with an empty batch, so only events
  // count as contact.
  if (!batch->events.empty()) {
    this->RecordKeyValueContact(true);
  }
  for (const WatchEvent& event : batch->events) {
    if (!event.deleted) {
      this->LearnEntry(event.entry);
    }
  }
  this->nextRevision = std::max(this->nextRevision, batch->nextRevision);
  co_return true;
}

template<typename Ports, PushTargets P>
Task<bool>
DocumentPropagation<Ports, P>::FetchFrom(std::string aAddress)
{
  this->counters.fetches += 1;
  const TimePoint now = this->ports.timer.Now();
  const PeerCall call{ this->table.Self().host,
                       this->clock.Stamp(now),
                       DocumentFetch{ this->store.Versions() } };
  FailureReason reason;
  const auto answer = co_await this->ports.channel.Call(
    aAddress, call, now + 2 * this->settings.callTimeout, reason);
  const auto* bundle =
    answer ? std::get_if<DocumentBundle>(&answer->body) : nullptr;
  if (!bundle) {
    this->counters.fetchesFailed += 1;
    co_return false;
  }
  this->clock.Observe(answer->sentAt, this->ports.timer.Now());
  for (const DocumentCopy& copy : bundle->documents) {
    this->Learn(copy, LearnedFrom::Fetch);
  }
  this->RecordPeerContact(now);
  this->ConfirmFromPeer(bundle->digest, answer->sentAt);
  // A peer without documents does not complete the start.
  co_return !this->store.Versions().empty();
}

template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::RunFetch(std::string aAddress)
{
  co_await this->FetchFrom(aAddress);
  this->fetching = false;
}

// Pushes to one member or, if it does not answer, to one other.
template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::PushOne(MemberUpdate aTo, DocumentCopy aCopy)
{
  constexpr int kMaxAttempts = 2;
  for (int i = 0; i < kMaxAttempts; ++i) {
    this->counters.pushes += 1;
    const TimePoint now = this->ports.timer.Now();
    const PeerCall call{ this->table.Self().host,
                         this->clock.Stamp(now),
                         DocumentPush{ aCopy } };
    FailureReason reason;
    const auto answer = co_await this->ports.channel.Call(
      aTo.address, call, now + this->settings.callTimeout, reason);
    if (answer) {
      co_return;
    }
    this->counters.pushesFailed += 1;
    const auto other = this->targets.Choose(this->table, this->random);
    if (other.empty()) {
      co_return;
    }
    aTo = other.front();
  }
}

template<typename Ports, PushTargets P>
Task<void>
DocumentPropagation<Ports, P>::Pause(Duration aMean)
{
  const double factor =
    std::uniform_real_distribution<>(0.75, 1.25)(this->random);
  const Duration pause = FromSeconds(factor * ToSeconds(aMean));
  co_await this->ports.timer.WaitUntil(this->ports.timer.Now() + pause);
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::OnProbe(const PeerDatagram& aDatagram)
{
  const TimePoint now = this->ports.timer.Now();
  const DocumentDigest& theirs = aDatagram.documents;
  const DocumentDigest ours = this->store.Digest(now);
  if (theirs.hash == ours.hash) {
    this->ConfirmFromPeer(theirs, aDatagram.sentAt);
    return;
  }
  const bool peerMayBeAhead = theirs.revisionSum >= ours.revisionSum;
  if (peerMayBeAhead && this->settings.antiEntropy && !this->fetching) {
    this->fetching = true;
    this->ports.spawner.Spawn(this->RunFetch(aDatagram.sender.address));
  }
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::OnContact(const PeerDatagram& aAnswer,
                                         TimePoint aProbedAt)
{
  const DocumentDigest ours = this->store.Digest(this->ports.timer.Now());
  if (aAnswer.documents.hash == ours.hash ||
      aAnswer.documents.revisionSum < ours.revisionSum) {
    this->RecordPeerContact(aProbedAt);
  }
}

template<typename Ports, PushTargets P>
DocumentBundle
DocumentPropagation<Ports, P>::OnFetch(const DocumentFetch& aFetch) const
{
  return { this->store.NewerThan(aFetch.known, this->settings.maxBundleBytes),
           this->store.Digest(this->ports.timer.Now()) };
}

template<typename Ports, PushTargets P>
DocumentPushAnswer
DocumentPropagation<Ports, P>::OnPush(const DocumentPush& aPush)
{
  return { this->Learn(aPush.document, LearnedFrom::Push) };
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::OnAccepted(const DocumentCopy& aCopy)
{
  this->Learn(aCopy, LearnedFrom::Acceptance);
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::LearnEntry(const KeyValueEntry& aEntry)
{
  FailureReason reason;
  const auto stored = this->ports.codec.Decode(aEntry.value, reason);
  if (!stored || DocumentKey(stored->copy.service) != aEntry.key) {
    this->counters.rejected += 1;
    return;
  }
  const DocumentCopy* known = this->store.Find(stored->copy.service);
  if (known && known->revision > stored->copy.revision) {
    this->counters.lowerRevisions += 1;
    return;
  }
  this->Learn(stored->copy, LearnedFrom::KeyValue);
}

template<typename Ports, PushTargets P>
bool
DocumentPropagation<Ports, P>::Learn(const DocumentCopy& aCopy,
                                     LearnedFrom aFrom)
{
  if (!this->store.IsNewer(aCopy)) {
    return false;
  }
  std::vector<FailureReason> reasons;
  auto parsed = this->ports.codec.Parse(aCopy.text, reasons);
  if (parsed && parsed->name != aCopy.service) {
    parsed.reset();
  }
  this->counters.rejected += parsed ? 0 : 1;
  this->counters.learned[static_cast<std::size_t>(aFrom)] += 1;
  const bool valid = parsed.has_value();
  this->store.Offer(aCopy, std::move(parsed));
  if (valid) {
    this->ports.events.Record(
      { .kind = EventKind::DocumentInForce,
        .at = this->ports.timer.Now(),
        .subject = aCopy.service.Text(),
        .detail = "revision " + std::to_string(aCopy.revision) });
  }
  // Documents from a fetch are new only to this daemon, and those of a start
  // are known elsewhere, so neither are pushed.
  if (aFrom != LearnedFrom::Fetch && this->loaded) {
    this->Push(aCopy);
  }
  return true;
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::Push(const DocumentCopy& aCopy)
{
  for (MemberUpdate& to : this->targets.Choose(this->table, this->random)) {
    this->ports.spawner.Spawn(this->PushOne(std::move(to), aCopy));
  }
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::RecordKeyValueContact(bool aReached)
{
  const TimePoint now = this->ports.timer.Now();
  if (aReached) {
    this->keyValueContact = now;
  }
  if (aReached != this->keyValueReached) {
    this->keyValueReached = aReached;
    this->ports.events.Record({ .kind = aReached
                                          ? EventKind::KeyValueAvailable
                                          : EventKind::KeyValueUnavailable,
                                .at = now,
                                .subject = "documents" });
  }
}

// Adopts the confirmation time of a daemon that has the same documents.
template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::ConfirmFromPeer(const DocumentDigest& aTheirs,
                                               const HybridTime& aSentAt)
{
  const TimePoint now = this->ports.timer.Now();
  if (aTheirs.hash != this->store.Digest(now).hash ||
      aTheirs.confirmedAge >= kRefuseStaleAfter) {
    return;
  }
  // The age is relative to the time of sending, because a message may have
  // waited while this process was paused. A sender's clock that is ahead must
  // not confirm a time in the future.
  this->store.Confirm(std::min(now, aSentAt.physical) - aTheirs.confirmedAge);
}

template<typename Ports, PushTargets P>
void
DocumentPropagation<Ports, P>::RecordPeerContact(TimePoint aTime)
{
  this->peerContact = std::max(this->peerContact.value_or(aTime), aTime);
}

template<typename Ports, PushTargets P>
bool
DocumentPropagation<Ports, P>::IsWatcher()
{
  if (this->watcherVersion != this->table.LiveVersion()) {
    this->watcherVersion = this->table.LiveVersion();
    const MemberUpdate& self = this->table.Self();
    this->watcher = IsOwner("watch/" + self.zone.Text(),
                            self.host,
                            this->table.LiveHostsIn(self.zone),
                            this->settings.watchersPerZone);
  }
  return this->watcher;
}

template<typename Ports, PushTargets P>
bool
DocumentPropagation<Ports, P>::IsPeerContactOverdue() const
{
  return !this->peerContact || this->ports.timer.Now() - *this->peerContact >=
                                 this->settings.peerContactTimeout;
}

template<typename Ports, PushTargets P>
Freshness
DocumentPropagation<Ports, P>::CurrentFreshness() const
{
  FreshnessState state;
  state.hasPeers = !this->table.Others().empty();
  state.hasKeyValue = true;
  state.loaded = this->loaded;
  state.keyValueContact = this->keyValueContact;
  state.peerContact = this->peerContact;
  state.confirmedAt = this->store.ConfirmedAt();
  return EvaluateFreshness(state, this->ports.timer.Now());
}

} // namespace wigeonwalk
