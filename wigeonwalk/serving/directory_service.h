// The distributed directory of stored pieces. The entries of each chain are
// kept by two daemons, chosen by rendezvous hashing of the chain's root piece.
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
#include "wigeonwalk/serving/cache_state.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Copies of the leading pieces of a chain, in order.
using ChainCopies = std::vector<std::vector<PieceCopy>>;

// Pieces of one chain that were added to store hosts or removed from them.
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

// Number of daemons that keep the entries of a chain.
inline constexpr std::size_t kDirectoryOwners = 2;

// Timeout of a lookup, after which the request continues without the directory.
// A lookup in the same region takes one round trip of a few milliseconds.
inline constexpr Duration kLookupTimeout = std::chrono::milliseconds(50);

inline constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);

// One daemon's shard of the directory. The references must outlive it and the
// announcements that it starts. One thread only.
template<PeerChannel Channel,
         TaskSpawner Spawner,
         Timer Time,
         DirectoryCodec Codec>
class DirectoryService
{
public:
  DirectoryService(CacheState& aCache,
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

  // Returns the known copies of a chain, from this daemon if it is an owner,
  // else with one call to an owner. Returns no copies if the owner does not
  // answer in time.
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

  // Sends an update to the owners of its chain without waiting for their
  // answers.
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

  // Replaces the entries of a store host with its own list of pieces,
  // restricted to the chains that this daemon owns.
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
    FailureReason reason;
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

  CacheState& cache;
  const MemberTable& members;
  Channel& channel;
  Spawner& spawner;
  Time& time;
  Codec& codec;
  HybridClock& clock;
};

} // namespace wigeonwalk
