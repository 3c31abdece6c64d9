// The directory of stored pieces over all daemons: each chain is kept by two
// daemons, chosen by rendezvous hashing of its root piece.
//
//   DirectoryService directory(cache, members, channel, spawner, time, codec,
//                              clock);
//   auto copies = co_await directory.Lookup(chain);
//   directory.Announce({ .added = sealed });
#pragma once

#include "wigeonwalk/base/hybrid_clock.h"
#include "wigeonwalk/membership/member_table.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/serving/cache_view.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Copies of the leading pieces of a chain, in order.
using ChainCopies = std::vector<std::vector<PieceCopy>>;

// Pieces of one chain that appeared on store hosts or are gone from them.
struct DirectoryUpdate
{
  std::vector<SealedPiece> added;
  std::vector<SealedPiece> removed;
};

// Encodes the directory's messages for ForwardedCall.
template<typename T>
concept DirectoryCodec = requires(T& aCodec,
                                  const std::vector<PieceKey>& aChain,
                                  const ChainCopies& aCopies,
                                  const DirectoryUpdate& aUpdate,
                                  const std::string& aPayload)
{
  {
    aCodec.EncodeChain(aChain)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeChain(aPayload)
    } -> std::same_as<std::optional<std::vector<PieceKey>>>;
  {
    aCodec.EncodeCopies(aCopies)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeCopies(aPayload)
    } -> std::same_as<std::optional<ChainCopies>>;
  {
    aCodec.EncodeUpdate(aUpdate)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeUpdate(aPayload)
    } -> std::same_as<std::optional<DirectoryUpdate>>;
};

// Daemons that keep each chain.
inline constexpr std::size_t kDirectoryOwners = 2;

// A request goes on without the directory after this time. A lookup in the same
// region takes one round trip of a few milliseconds.
inline constexpr Duration kLookupTimeout = std::chrono::milliseconds(50);

inline constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);

// One daemon's part of the directory. The references must outlive it and the
// announcements that it starts. One thread only.
template<PeerChannel Channel,
         TaskSpawner Spawner,
         Timer Time,
         DirectoryCodec Codec>
class DirectoryService
{
public:
  DirectoryService(CacheView& aCache,
                   const MemberTable& aMembers,
                   Channel& aChannel,
                   Spawner& aSpawner,
                   Time& aTime,
                   Codec& aCodec,
                   HybridClock& aClock)
    : cache(aCache)
    , members(aMembers)
    , channel(aChannel)
    , spawner(aSpawner)
    , time(aTime)
    , codec(aCodec)
    , clock(aClock)
  {
  }

  // Returns what is known of a chain, from this daemon or in one hop from an
  // owner. Knows nothing where the owner does not answer in time.
  Task<ChainCopies> Lookup(const std::vector<PieceKey>& aChain)
  {
    if (aChain.empty()) {
      co_return ChainCopies();
    }
    const std::vector<HostId> owners = this->OwnersOf(aChain.front());
    if (this->IsOwner(owners)) {
      co_return this->cache.Directory().Lookup(aChain);
    }
    const std::string payload = this->codec.EncodeChain(aChain);
    auto answer = co_await this->CallOwner(
      owners.front(), ForwardedKind::DirectoryLookup, payload, kLookupTimeout);
    if (!answer) {
      co_return ChainCopies();
    }
    co_return this->codec.DecodeCopies(*answer).value_or(ChainCopies());
  }

  // Tells the owners of a chain what changed, without waiting for them.
  void Announce(DirectoryUpdate aUpdate)
  {
    const auto& rows = aUpdate.added.empty() ? aUpdate.removed : aUpdate.added;
    if (rows.empty()) {
      return;
    }
    for (const HostId& owner : this->OwnersOf(rows.front().root)) {
      if (owner == this->members.Self().host) {
        this->Apply(aUpdate);
      } else {
        this->spawner.Spawn(
          this->Send(owner, this->codec.EncodeUpdate(aUpdate)));
      }
    }
  }

  // Answers another daemon's lookup or update.
  std::optional<ForwardedAnswer> OnCall(const ForwardedCall& aCall)
  {
    if (aCall.kind == ForwardedKind::DirectoryLookup) {
      const auto chain = this->codec.DecodeChain(aCall.payload);
      if (!chain) {
        return std::nullopt;
      }
      return ForwardedAnswer{ aCall.kind,
                              this->codec.EncodeCopies(
                                this->cache.Directory().Lookup(*chain)) };
    }
    const auto update = this->codec.DecodeUpdate(aCall.payload);
    if (!update) {
      return std::nullopt;
    }
    this->Apply(*update);
    return ForwardedAnswer{ aCall.kind, std::string() };
  }

  // Takes over a store host's own list, as far as this daemon owns its chains.
  void Rebuild(const UpstreamId& aStore, const std::vector<SealedPiece>& aList)
  {
    this->cache.Directory().Rebuild(
      aStore, aList, [this](const PieceKey& aRoot) {
        return this->IsOwner(this->OwnersOf(aRoot));
      });
  }

private:
  std::vector<HostId> OwnersOf(const PieceKey& aRoot) const
  {
    return RankOwners("directory/" + aRoot.ToHex(),
                      this->members.LiveHosts(),
                      kDirectoryOwners);
  }

  bool IsOwner(const std::vector<HostId>& aOwners) const
  {
    return std::find(aOwners.begin(),
                     aOwners.end(),
                     this->members.Self().host) != aOwners.end();
  }

  void Apply(const DirectoryUpdate& aUpdate)
  {
    for (const SealedPiece& piece : aUpdate.added) {
      this->cache.Directory().Record(piece);
    }
    for (const SealedPiece& piece : aUpdate.removed) {
      this->cache.Directory().Remove(piece);
    }
  }

  Task<void> Send(HostId aOwner, std::string aPayload)
  {
    co_await this->CallOwner(
      aOwner, ForwardedKind::DirectoryUpdate, aPayload, kAnnounceTimeout);
  }

  Task<std::optional<std::string>> CallOwner(HostId aOwner,
                                             ForwardedKind aKind,
                                             std::string aPayload,
                                             Duration aTimeout)
  {
    const Member* owner = this->members.Find(aOwner);
    if (owner == nullptr) {
      co_return std::nullopt;
    }
    const std::string address = owner->update.address;
    const TimePoint now = this->time.Now();
    PeerCall call;
    call.from = this->members.Self().host;
    call.sentAt = this->clock.Stamp(now);
    call.body = ForwardedCall{ aKind, std::move(aPayload) };
    LastReason reason;
    auto answer =
      co_await this->channel.Call(address, call, now + aTimeout, reason);
    if (!answer) {
      co_return std::nullopt;
    }
    auto* forwarded = std::get_if<ForwardedAnswer>(&answer->body);
    if (forwarded == nullptr) {
      co_return std::nullopt;
    }
    co_return std::move(forwarded->payload);
  }

  CacheView& cache;
  const MemberTable& members;
  Channel& channel;
  Spawner& spawner;
  Time& time;
  Codec& codec;
  HybridClock& clock;
};

} // namespace wigeonwalk
