// Definitions of FailureDetector's members; included by failure_detector.h
// only.
#pragma once

#include "wigeonwalk/membership/failure_detector.h"

#include <utility>
#include <variant>

namespace wigeonwalk {

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
FailureDetector<T, C, S, R>::FailureDetector(T& aTimer,
                                             C& aChannel,
                                             S& aSpawner,
                                             R& aPiggyback,
                                             MemberTable& aTable,
                                             HybridClock& aClock,
                                             std::uint64_t aSeed,
                                             DetectorSettings aSettings)
  : timer(aTimer)
  , channel(aChannel)
  , spawner(aSpawner)
  , piggyback(aPiggyback)
  , table(aTable)
  , clock(aClock)
  , settings(aSettings)
  , random(aSeed)
  , lastContact(aTimer.Now())
{
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::Start(const std::vector<MemberUpdate>& aSeeds)
{
  for (const MemberUpdate& seed : aSeeds) {
    this->table.AddSeed(seed, this->timer.Now());
  }
  for (const auto& [host, member] : this->table.Others()) {
    this->EnsurePeer(member.update);
  }
  if (!this->started) {
    this->started = true;
    this->spawner.Spawn(this->RunPeriodicTasks());
    this->spawner.Spawn(this->RunJoin());
  }
}

// Probes one peer until it has left or was removed from the table.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Task<void>
FailureDetector<T, C, S, R>::RunPeer(HostId aHost)
{
  const double phase = std::uniform_real_distribution<>(0, 1)(this->random);
  const Duration initialDelay =
    FromSeconds(phase * ToSeconds(this->ProbeInterval(aHost)));
  co_await this->SleepUntil(this->timer.Now() + initialDelay);
  while (!this->leaving) {
    const Member* member = this->table.Find(aHost);
    if (!member || member->update.state == MemberState::Left) {
      break;
    }
    if (member->update.state == MemberState::Lost) {
      this->counters.lostMemberProbes += 1;
      this->SendProbe(member->update, this->nextSequence++);
    } else {
      co_await this->ProbePeer(aHost);
    }
    const Duration wait = this->AddJitter(this->ProbeInterval(aHost));
    co_await this->SleepUntil(this->timer.Now() + wait);
  }
  this->peers.erase(aHost);
}

// Probes a live peer directly in the first round and also indirectly in the
// following ones. Suspects the peer if no round brings an answer.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Task<void>
FailureDetector<T, C, S, R>::ProbePeer(const HostId& aHost)
{
  const std::uint64_t sequence = this->nextSequence++;
  this->peers[aHost] = { sequence, false };
  bool isOnTime = true;
  for (int round = 0; round < this->settings.rounds; ++round) {
    const Member* member = this->table.Find(aHost);
    if (!member || this->leaving) {
      co_return;
    }
    this->SendProbe(member->update, sequence);
    if (round > 0) {
      this->RequestIndirectProbes(member->update, sequence);
    }
    const TimePoint until = this->timer.Now() + this->settings.probeTimeout;
    isOnTime = co_await this->SleepUntil(until) && isOnTime;
    if (this->peers[aHost].acked) {
      co_return;
    }
  }
  // If this process was paused, the answers may have arrived but not been read
  // yet.
  if (!isOnTime) {
    co_return;
  }
  const TimePoint now = this->timer.Now();
  if (this->table.Suspect(aHost, now)) {
    this->counters.suspicions += 1;
    const MemberUpdate suspect = this->table.Find(aHost)->update;
    this->piggyback.OnMemberChange(suspect, now);
    this->SendProbe(suspect, sequence);
  }
}

// Once a second, expires suspicions, removes old members and open relays, and
// probes a random peer if none has answered for a while.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Task<void>
FailureDetector<T, C, S, R>::RunPeriodicTasks()
{
  while (!this->leaving) {
    const TimePoint next = this->timer.Now() + std::chrono::seconds(1);
    co_await this->SleepUntil(next);
    const TimePoint now = this->timer.Now();
    for (const MemberUpdate& lost : this->table.ExpireSuspicions(now)) {
      this->counters.lost += 1;
      this->piggyback.OnMemberChange(lost, now);
    }
    this->table.Forget(now);
    this->relays.Expire(now);
    std::erase_if(this->sentProbes, [&](const auto& aProbe) {
      return now - aProbe.second >= this->settings.maxAnswerAge;
    });
    if (now - this->lastContact >= this->settings.contactTimeout) {
      this->ProbeRandomPeer();
    }
  }
}

// Requests the member list from one random member after another until one
// answers.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Task<void>
FailureDetector<T, C, S, R>::RunJoin()
{
  constexpr int kTries = 10;
  for (int i = 0; i < kTries && !this->leaving; ++i) {
    const Duration wait = this->AddJitter(std::chrono::seconds(1));
    co_await this->SleepUntil(this->timer.Now() + wait);
    const auto chosen = this->RandomMembers(1, this->table.Self().host);
    if (chosen.empty()) {
      continue;
    }
    const TimePoint now = this->timer.Now();
    const PeerCall call{ this->table.Self().host,
                         this->clock.Stamp(now),
                         MemberSync{ this->table.Self() } };
    const std::string address = chosen.front()->update.address;
    const TimePoint deadline = now + std::chrono::seconds(2);
    FailureReason reason;
    const auto answer =
      co_await this->channel.Call(address, call, deadline, reason);
    const auto* list =
      answer ? std::get_if<MemberList>(&answer->body) : nullptr;
    if (!list) {
      continue;
    }
    for (const MemberUpdate& update : list->members) {
      this->Merge(update);
    }
    co_return;
  }
}

// Waits until the given time. Returns false if the process was paused
// meanwhile.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Task<bool>
FailureDetector<T, C, S, R>::SleepUntil(TimePoint aTime)
{
  co_await this->timer.WaitUntil(aTime);
  const TimePoint now = this->timer.Now();
  if (now - aTime < this->settings.pauseThreshold) {
    co_return true;
  }
  // After one pause, all coroutines wake up late; only the first one restarts
  // the suspicions.
  if (aTime >= this->lastPauseEnd) {
    this->lastPauseEnd = now;
    this->counters.pauses += 1;
    this->table.RestartSuspicions(now);
  }
  co_return false;
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::OnDatagram(const PeerDatagram& aDatagram)
{
  const TimePoint now = this->timer.Now();
  this->clock.Observe(aDatagram.sentAt, now);
  const std::uint64_t before = this->table.Self().incarnation;
  this->Merge(aDatagram.sender);
  for (const MemberUpdate& update : aDatagram.updates) {
    this->Merge(update);
  }
  this->piggyback.OnPiggybackedData(aDatagram, now);
  switch (aDatagram.kind) {
    case DatagramKind::Probe:
      this->AnswerProbe(aDatagram);
      break;
    case DatagramKind::ProbeAck:
      this->HandleAck(aDatagram);
      break;
    case DatagramKind::ProbeRequest:
      this->ProbeOnBehalf(aDatagram);
      break;
    case DatagramKind::Notice:
      break;
  }
  // Sends the refutation of a suspicion back at once. The answer to a probe
  // already carries it.
  if (this->table.Self().incarnation != before &&
      aDatagram.kind != DatagramKind::Probe) {
    this->SendProbe(aDatagram.sender, this->nextSequence++);
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
MemberList
FailureDetector<T, C, S, R>::OnSync(const MemberSync& aSync)
{
  this->Merge(aSync.sender);
  return { this->table.Snapshot() };
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::Notify(std::size_t aCount)
{
  for (const Member* member : this->RandomMembers(aCount, HostId())) {
    const MemberUpdate& to = member->update;
    this->channel.Send(to.address,
                       this->MakeDatagram(DatagramKind::Notice, to.host));
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::Leave()
{
  constexpr std::size_t kNotifiedMembers = 8;
  this->leaving = true;
  this->table.Leave();
  for (const Member* member :
       this->RandomMembers(kNotifiedMembers, this->table.Self().host)) {
    this->SendProbe(member->update, this->nextSequence++);
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::Merge(const MemberUpdate& aUpdate)
{
  const TimePoint now = this->timer.Now();
  const MergeOutcome outcome = this->table.Merge(aUpdate, now);
  switch (outcome) {
    case MergeOutcome::Ignored:
      return;
    case MergeOutcome::Refuted:
      this->counters.refutations += 1;
      return;
    case MergeOutcome::Joined:
    case MergeOutcome::Changed:
      break;
  }
  this->EnsurePeer(aUpdate);
  this->piggyback.OnMemberChange(aUpdate, now);
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::EnsurePeer(const MemberUpdate& aUpdate)
{
  if (aUpdate.state == MemberState::Left || this->leaving) {
    return;
  }
  if (this->peers.try_emplace(aUpdate.host).second) {
    this->spawner.Spawn(this->RunPeer(aUpdate.host));
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
PeerDatagram
FailureDetector<T, C, S, R>::MakeDatagram(DatagramKind aKind,
                                          const HostId& aReceiver)
{
  const TimePoint now = this->timer.Now();
  PeerDatagram datagram;
  datagram.kind = aKind;
  datagram.sender = this->table.Self();
  datagram.sentAt = this->clock.Stamp(now);
  datagram.documents = this->piggyback.CurrentDigest(now);
  datagram.updates =
    this->table.TakeUpdates(this->settings.maxUpdates, aReceiver);
  datagram.notices = this->piggyback.TakeNotices(now);
  return datagram;
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::SendProbe(const MemberUpdate& aTo,
                                       std::uint64_t aSequence)
{
  this->counters.probes += 1;
  PeerDatagram probe = this->MakeDatagram(DatagramKind::Probe, aTo.host);
  probe.sequence = aSequence;
  this->sentProbes.try_emplace(aSequence, this->timer.Now());
  this->channel.Send(aTo.address, probe);
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::RequestIndirectProbes(const MemberUpdate& aTarget,
                                                   std::uint64_t aSequence)
{
  for (const Member* prober :
       this->RandomMembers(this->settings.indirectProbes, aTarget.host)) {
    PeerDatagram request =
      this->MakeDatagram(DatagramKind::ProbeRequest, prober->update.host);
    request.sequence = aSequence;
    request.target = aTarget.host;
    request.targetAddress = aTarget.address;
    this->channel.Send(prober->update.address, request);
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::AnswerProbe(const PeerDatagram& aProbe)
{
  PeerDatagram ack =
    this->MakeDatagram(DatagramKind::ProbeAck, aProbe.sender.host);
  ack.sequence = aProbe.sequence;
  this->channel.Send(aProbe.sender.address, ack);
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::HandleAck(const PeerDatagram& aAck)
{
  const bool indirect = !aAck.target.Empty();
  const HostId& host = indirect ? aAck.target : aAck.sender.host;
  const auto found = this->peers.find(host);
  if (found != this->peers.end() && found->second.sequence == aAck.sequence) {
    found->second.acked = true;
  }
  if (indirect) {
    return;
  }
  if (const auto probe = this->sentProbes.extract(aAck.sequence)) {
    this->lastContact = std::max(this->lastContact, probe.mapped());
    this->piggyback.OnContact(aAck, probe.mapped());
  }
  if (const auto relay = this->relays.Take(aAck.sequence)) {
    PeerDatagram ack = this->MakeDatagram(DatagramKind::ProbeAck, HostId());
    ack.sequence = relay->sequence;
    ack.target = aAck.sender.host;
    this->channel.Send(relay->address, ack);
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::ProbeOnBehalf(const PeerDatagram& aRequest)
{
  const std::uint64_t sequence = this->nextSequence++;
  const TimePoint expires = this->timer.Now() + 2 * this->settings.probeTimeout;
  Relay relay{ aRequest.sender.address, aRequest.sequence, expires };
  if (!this->relays.Add(sequence, std::move(relay))) {
    return;
  }
  MemberUpdate target;
  target.host = aRequest.target;
  target.address = aRequest.targetAddress;
  this->SendProbe(target, sequence);
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
void
FailureDetector<T, C, S, R>::ProbeRandomPeer()
{
  for (const Member* member : this->RandomMembers(1, this->table.Self().host)) {
    this->SendProbe(member->update, this->nextSequence++);
  }
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
std::vector<const Member*>
FailureDetector<T, C, S, R>::RandomMembers(std::size_t aCount,
                                           const HostId& aExcept)
{
  std::vector<const Member*> candidates;
  std::vector<const Member*> others;
  for (const auto& [host, member] : this->table.Others()) {
    if (host != aExcept && member.update.state != MemberState::Left) {
      const bool alive = member.update.state == MemberState::Alive;
      (alive ? candidates : others).push_back(&member);
    }
  }
  // An isolated daemon without live peers falls back to lost members.
  if (candidates.empty()) {
    candidates = std::move(others);
  }
  std::vector<const Member*> chosen;
  std::sample(candidates.begin(),
              candidates.end(),
              std::back_inserter(chosen),
              aCount,
              this->random);
  std::shuffle(chosen.begin(), chosen.end(), this->random);
  return chosen;
}

// Returns the mean time between two probes of a peer. A live peer is probed
// once every n protocol periods, so that this daemon sends about one probe a
// period. All lost peers together get one probe every lostMemberProbeInterval,
// so that a healed partition causes no burst. In a large fleet they are probed
// less often, so that a lost host does not get a probe from every daemon in
// each interval.
template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Duration
FailureDetector<T, C, S, R>::ProbeInterval(const HostId& aHost)
{
  const Member* member = this->table.Find(aHost);
  if (member && member->update.state == MemberState::Lost) {
    const auto lost = static_cast<std::int64_t>(this->table.LostCount());
    const auto tenth = static_cast<std::int64_t>(this->table.LiveCount()) / 10;
    return this->settings.lostMemberProbeInterval *
           std::max({ std::int64_t(1), lost, tenth });
  }
  const auto live = static_cast<std::int64_t>(this->table.LiveCount());
  return this->settings.protocolPeriod * std::max<std::int64_t>(1, live - 1);
}

template<Timer T, PeerChannel C, TaskSpawner S, ProbePiggyback R>
Duration
FailureDetector<T, C, S, R>::AddJitter(Duration aMean)
{
  const double factor =
    std::uniform_real_distribution<>(0.8, 1.2)(this->random);
  return FromSeconds(factor * ToSeconds(aMean));
}

} // namespace wigeonwalk
