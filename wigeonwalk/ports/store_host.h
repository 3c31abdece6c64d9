// Port for a store host: memory and disk for pieces of kept cache.
//
// Engines move the bytes themselves; daemons handle tickets, seals and leases,
// because KV cache does not fit through small entry hosts.
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

// Space reserved for one write. The piece stays invisible until it is sealed.
struct WriteTicket
{
  UpstreamId store;
  PieceKey piece;
  std::uint64_t generation = 0;
  StoreTier tier = StoreTier::Memory;
  // Where the engine writes the bytes, "IP:port".
  std::string address;
};

// A piece that was wholly written: what a reader checks before using it.
struct SealedPiece
{
  UpstreamId store;
  PieceKey piece;
  std::uint64_t generation = 0;
  std::uint64_t bytes = 0;
  std::uint64_t checksum = 0;
  StoreTier tier = StoreTier::Memory;
  // Key of the first piece of the chain, and the piece's position in it. A
  // store host keeps them so that its list suffices to rebuild the directory,
  // which is sharded by root.
  PieceKey root;
  std::uint32_t index = 0;

  bool operator==(const SealedPiece&) const = default;
};

// Right to read one generation of a piece until it expires.
struct ReadLease
{
  std::uint64_t lease = 0;
  SealedPiece piece;
  TimePoint expiresAt;
  // Where the engine reads the bytes, "IP:port".
  std::string address;
};

// A store host as flows see it.
template<typename T>
concept StoreHost = requires(T& aStore,
                             const PieceKey& aPiece,
                             std::uint64_t aBytes,
                             StoreTier aTier,
                             const SealedPiece& aSealed,
                             const ReadLease& aLease,
                             TimePoint aDeadline,
                             LastReason& aReason)
{
  {
    aStore.Reserve(aPiece, aBytes, aTier, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<WriteTicket>>>;
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

// An engine that moves pieces between its memory and a store host.
template<typename T>
concept CacheMovingEngine = requires(T& aEngine,
                                     const WriteTicket& aTicket,
                                     const ReadLease& aLease,
                                     TimePoint aDeadline,
                                     LastReason& aReason)
{
  {
    aEngine.Export(aTicket, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<SealedPiece>>>;
  // Returns true only after the engine verified generation and checksum.
  {
    aEngine.Import(aLease, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
};

} // namespace wigeonwalk
