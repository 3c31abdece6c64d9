// Port for a store host, which keeps pieces of KV cache in memory and on disk.
//
// Engines transfer the cache bytes directly to and from store hosts. Daemons
// only handle reservations, seals and leases, because the small entry hosts
// lack the bandwidth to relay KV cache.
//
//   auto ticket = co_await store.Reserve(key, bytes, tier, deadline, reason);
//   auto sealed = co_await engine.Export(*ticket, ..., deadline, reason);
//   co_await store.Seal(*sealed, deadline, reason);
#pragma once

#include "wigeonwalk/ports/model_engine.h"

namespace wigeonwalk {

// Where a store host keeps a piece.
enum class StoreTier
{
  Memory,
  Disk,
};

template<>
struct EnumNames<StoreTier>
{
  static constexpr std::array<EnumName<StoreTier>, 2> kTable{ {
    { StoreTier::Memory, "memory" },
    { StoreTier::Disk, "disk" },
  } };
};
static_assert(HasCompleteTable<StoreTier>());

// Space reserved for one write. The piece is invisible to readers until it is
// sealed.
struct WriteReservation
{
  UpstreamId store;
  PieceKey piece;
  std::uint64_t generation = 0;
  StoreTier tier = StoreTier::Memory;
  // Where the engine writes the bytes, "IP:port".
  std::string address;
};

// Metadata of a completely written piece. A reader verifies it before it uses
// the piece.
struct SealedPiece
{
  UpstreamId store;
  PieceKey piece;
  std::uint64_t generation = 0;
  std::uint64_t bytes = 0;
  std::uint64_t checksum = 0;
  StoreTier tier = StoreTier::Memory;
  // Key of the first piece of the chain, and the position of this piece in the
  // chain. Store hosts keep both so that the directory, which is sharded by
  // root, can be rebuilt from their lists alone.
  PieceKey root;
  std::uint32_t index = 0;

  bool operator==(const SealedPiece&) const = default;
};

// Permission to read one generation of a piece until the lease expires.
struct ReadLease
{
  std::uint64_t lease = 0;
  SealedPiece piece;
  TimePoint expiresAt;
  // Where the engine reads the bytes, "IP:port".
  std::string address;
};

// Client of a store host.
template<typename T>
concept StoreHost = requires(T& aStore,
                             const PieceKey& aPiece,
                             std::uint64_t aBytes,
                             StoreTier aTier,
                             const SealedPiece& aSealed,
                             const ReadLease& aLease,
                             TimePoint aDeadline,
                             FailureReason& aReason)
{
  {
    aStore.Reserve(aPiece, aBytes, aTier, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<WriteReservation>>>;
  {
    aStore.Seal(aSealed, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
  {
    aStore.Acquire(aSealed, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<ReadLease>>>;
  {
    aStore.Release(aLease, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
  {
    aStore.Free(aSealed, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
  {
    aStore.List(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::vector<SealedPiece>>>>;
};

// An engine that transfers pieces between its memory and a store host.
template<typename T>
concept CacheTransferEngine = requires(T& aEngine,
                                       const WriteReservation& aTicket,
                                       const ReadLease& aLease,
                                       TimePoint aDeadline,
                                       FailureReason& aReason)
{
  {
    aEngine.Export(aTicket, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<SealedPiece>>>;
  // Returns true only after the engine has verified generation and checksum.
  {
    aEngine.Import(aLease, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
};

} // namespace wigeonwalk
