// Exchanges registry changes with other daemons.
//
//   RegistryRelay relay(state, watch, mirror, channel, codec, timer, log);
//   spawn(relay.Run());
//   auto payload = relay.Answer(query);   // a call of another daemon
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/registry_readers.h"
#include "wigeonwalk/entry/weight_ages.h"
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

// Applies registry changes that another daemon reported, and records that a
// reader knew the registry to be at the mirror's revision at `aKnownAt`.
template<typename T>
concept ChangeSink = requires(T& aSink,
                              const RegistryChanges& aReported,
                              TimePoint aKnownAt)
{
  aSink.ApplyReported(aReported);
  aSink.NoteReader(aKnownAt);
};

// A daemon that does not read the registry itself asks a reader of its zone. If
// the readers fail or their knowledge is old, it watches the registry until
// they are back. A daemon that can't reach the registry asks any other one, and
// so does one that has found weights and can't tell when they were published.
// Two tasks, and one for each call of another daemon.
template<ChangeSink W,
         PeerChannel P,
         EntryNoticeCodec C,
         Timer T,
         StructuredLog L>
class RegistryRelay
{
public:
  // How often a daemon that can't reach the registry asks another daemon.
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
  // How long, and how often, other daemons are asked for the ages of weights
  // that were found: a restarted daemon has to know them within the time after
  // which its host counts as connected, and hosts that stopped with it are
  // still listed as members.
  static constexpr Duration kLearnTime = std::chrono::seconds(2);
  static constexpr Duration kLearnInterval = std::chrono::milliseconds(250);
  // How often they are asked afterwards, because they may have been paused.
  static constexpr Duration kSlowLearnInterval = std::chrono::milliseconds(750);
  // A reader is asked three times within the lifetime of its knowledge.
  static constexpr int kCallsPerLifetime = 3;

  RegistryRelay(EntryState& aState,
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
      const TimePoint startedAt = this->timer.Now();
      const EntrySettings& settings = this->state.Settings();
      const ReaderRoles roles =
        AssignReaders(settings.host, settings.zone, this->state.members);
      this->state.isAskedForChanges = roles.isAsked;
      if (!roles.reads && this->mirror.Revision() > 0) {
        co_await this->AskReaders(roles.readers);
      }
      if (this->state.registryUnreachable) {
        co_await this->AskAnyone();
      }
      co_await this->timer.WaitUntil(startedAt + this->Interval());
    }
  }

  // Learns from other daemons how old the weights are that were found: asks one
  // after the other until one has observed their publication.
  Task<void> LearnWeightAges()
  {
    std::uint64_t handled = 0;
    TimePoint fastUntil;
    TimePoint askAt;
    std::size_t position = this->random();
    while (true) {
      const TimePoint startedAt = this->timer.Now();
      if (handled != this->state.foundWeights) {
        handled = this->state.foundWeights;
        fastUntil = startedAt + kLearnTime;
        askAt = startedAt;
      }
      if (startedAt >= askAt && !KnowsAgesOfWeights(this->state, startedAt)) {
        askAt = startedAt +
                (startedAt < fastUntil ? kLearnInterval : kSlowLearnInterval);
        co_await this->AskForAges(position);
        ++position;
      }
      co_await this->timer.WaitUntil(startedAt + kLearnInterval);
    }
  }

  // Returns the encoded answer to another daemon's query, or nothing if the
  // query is malformed.
  std::optional<std::string> Answer(const std::string& aQuery) const
  {
    const auto query = this->codec.DecodeQuery(aQuery);
    if (!query) {
      return std::nullopt;
    }
    RegistryChanges changes;
    changes.revision = this->mirror.Revision();
    changes.age = this->timer.Now() - this->state.registryKnownAt;
    if (auto since = this->mirror.ChangesSince(query->revision)) {
      changes.changes = std::move(*since);
    } else {
      changes.full = true;
      for (KeyValueEntry& entry : this->mirror.Items()) {
        changes.changes.push_back({ false, std::move(entry) });
      }
    }
    const TimePoint now = this->timer.Now();
    changes.weights = query->wantsWeightAges
                        ? AgesOfWeights(this->state, now)
                        : AgesOfWeightsAfter(this->state, query->revision, now);
    return this->codec.EncodeChanges(changes);
  }

private:
  Duration Interval() const
  {
    return this->state.registryUnreachable
             ? kQueryInterval
             : this->state.RelayLifetime() / kCallsPerLifetime;
  }

  // Asks one reader after the other until one has recent knowledge.
  Task<void> AskReaders(std::vector<EntryMember> aReaders)
  {
    for (const EntryMember& reader : aReaders) {
      const TimePoint askedAt = this->timer.Now();
      const auto changes = co_await this->Ask(reader, false);
      if (!changes || changes->revision < this->mirror.Revision()) {
        continue;
      }
      // A removal that was reported after an outage of the registry counts from
      // the registry's return, so that is recorded first.
      this->watch.NoteReader(askedAt - changes->age);
      this->watch.ApplyReported(*changes);
      this->ApplyAges(changes->weights, reader.host);
      if (this->state.FollowsReader(this->timer.Now())) {
        break;
      }
    }
  }

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

  // Asks a randomly chosen daemon.
  Task<void> AskAnyone()
  {
    const std::vector<EntryMember> others = this->Others();
    if (others.empty()) {
      co_return;
    }
    const EntryMember peer = others[this->random() % others.size()];
    const auto changes = co_await this->Ask(peer, false);
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
    this->watch.ApplyReported(*changes);
    this->ApplyAges(changes->weights, peer.host);
  }

  // Asks the other daemon at a position in their order for the ages of weights.
  Task<void> AskForAges(std::size_t aPosition)
  {
    const std::vector<EntryMember> others = this->Others();
    if (others.empty()) {
      co_return;
    }
    const EntryMember peer = others[aPosition % others.size()];
    const auto changes = co_await this->Ask(peer, true);
    if (changes) {
      this->ApplyAges(changes->weights, peer.host);
    }
  }

  void ApplyAges(const std::vector<WeightsAge>& aAges, const HostId& aSource)
  {
    const TimePoint now = this->timer.Now();
    for (const WeightsAge& learnt : LearnAges(this->state, aAges, now)) {
      this->log.Write(now,
                      LogLevel::Info,
                      "weights age learnt",
                      {},
                      { { LogKey::Model, learnt.model },
                        { LogKey::Version, learnt.version },
                        { LogKey::Age, learnt.age },
                        { LogKey::Peer, aSource } });
    }
  }

  Task<std::optional<RegistryChanges>> Ask(EntryMember aPeer,
                                           bool aWantsWeightAges)
  {
    const RegistryQuery query{ this->mirror.Revision(), aWantsWeightAges };
    PeerCall call;
    call.from = this->state.Settings().host;
    call.body = ForwardedCall{ ForwardedKind::RegistryChanges,
                               this->codec.EncodeQuery(query) };
    FailureReason reason;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const auto answer =
      co_await this->channel.Call(aPeer.peerAddress, call, deadline, reason);
    // An answer that is read after the deadline, because the process was
    // paused, has ages that are too low.
    if (!answer || this->timer.Now() > deadline) {
      co_return std::nullopt;
    }
    const auto* body = std::get_if<ForwardedAnswer>(&answer->body);
    if (body == nullptr) {
      co_return std::nullopt;
    }
    co_return this->codec.DecodeChanges(body->payload);
  }

  EntryState& state;
  W& watch;
  const ItemMirror& mirror;
  P& channel;
  const C& codec;
  T& timer;
  L& log;
  std::mt19937_64 random;
};

} // namespace wigeonwalk
