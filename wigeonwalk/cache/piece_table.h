// Bookkeeping of the pieces on a store host, with the rules that make reads
// safe.
//
// A piece is reserved, written, and sealed with its length, generation and
// checksum; only then can it be read. A read holds a lease. Freeing a piece
// hides it at once. Its space is reclaimed after the last lease ends, or at
// once, in which case a read in progress fails its final check. The bytes
// themselves are stored elsewhere.
//
//   PieceTable table(store, space, incarnation);
//   auto ticket = table.Reserve(key, bytes, StoreTier::Memory, now, reason);
//   table.Write(*ticket, 0, bytes, now, reason);
//   table.Seal(sealed, storedChecksum, now, reason);
//   auto lease = table.Acquire(sealed, now, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/store_host.h"

#include <array>
#include <map>
#include <unordered_map>

namespace wigeonwalk {

// A reservation that is not sealed within this time is reclaimed, because its
// writer is presumed dead.
inline constexpr Duration kReservationTimeout = std::chrono::seconds(30);

// A read lease expires after this time; a reader that needs longer acquires a
// new one.
inline constexpr Duration kReadLeaseTime = std::chrono::seconds(30);

// Capacity of a store host.
struct StoreSpace
{
  std::uint64_t memoryBytes = 0;
  std::uint64_t diskBytes = 0;
};

// How freeing a piece treats its readers.
enum class FreeMode
{
  // Space is reclaimed after the last read lease ends.
  WaitForReaders,
  // Space is reclaimed at once; current readers fail their final check.
  RaiseGeneration,
};

template<>
struct EnumNames<FreeMode>
{
  static constexpr std::array<EnumName<FreeMode>, 2> kTable{ {
    { FreeMode::WaitForReaders, "wait-for-readers" },
    { FreeMode::RaiseGeneration, "raise-generation" },
  } };
};
static_assert(HasCompleteTable<FreeMode>());

// Bookkeeping of one store host. One thread only.
class PieceTable
{
public:
  // `aIncarnation` must increase with every start of the store host. It forms
  // the upper half of each generation, so that after a restart no ticket, seal
  // or lease from before can match.
  PieceTable(UpstreamId aStore, StoreSpace aSpace, std::uint32_t aIncarnation);

  // Reserves space for one write. Fails with AlreadyExists for a piece that is
  // sealed or being written, and with Overloaded if the tier is full.
  std::optional<WriteReservation> Reserve(const PieceKey& aPiece,
                                          std::uint64_t aBytes,
                                          StoreTier aTier,
                                          TimePoint aNow,
                                          FailureReason& aReason);

  // Records a write. Writes must be contiguous. If it returns false, the bytes
  // must not be stored.
  bool Write(const WriteReservation& aTicket,
             std::uint64_t aOffset,
             std::uint64_t aBytes,
             TimePoint aNow,
             FailureReason& aReason);

  // Makes a completely written piece readable. Fails with Corrupt if the
  // length, or `aStoredChecksum`, the caller's own checksum of the stored
  // bytes, differs from the seal.
  bool Seal(const SealedPiece& aSealed,
            std::uint64_t aStoredChecksum,
            TimePoint aNow,
            FailureReason& aReason);

  // Grants a read lease for exactly this generation and checksum.
  std::optional<ReadLease> Acquire(const SealedPiece& aSealed,
                                   TimePoint aNow,
                                   FailureReason& aReason);

  // Returns true if the bytes read under a lease up to `aNow` are valid. A
  // reader must check this after its last byte.
  bool IsReadValid(const ReadLease& aLease, TimePoint aNow) const;

  bool Release(const ReadLease& aLease, FailureReason& aReason);

  bool Free(const SealedPiece& aSealed,
            FreeMode aMode,
            TimePoint aNow,
            FailureReason& aReason);

  // Moves a piece without readers to another tier under a new generation.
  std::optional<SealedPiece> Move(const SealedPiece& aSealed,
                                  StoreTier aTier,
                                  TimePoint aNow,
                                  FailureReason& aReason);

  // Reclaims expired reservations and leases.
  void Expire(TimePoint aNow);

  // Returns all readable pieces.
  std::vector<SealedPiece> List() const;

  std::uint64_t UsedBytes(StoreTier aTier) const;

private:
  enum class State
  {
    Writing,
    Sealed,
    Freeing,
  };

  struct Row
  {
    State state = State::Writing;
    SealedPiece piece;
    std::uint64_t reserved = 0;
    std::uint64_t written = 0;
    TimePoint reservedAt;
    // Expiry of each read lease.
    std::unordered_map<std::uint64_t, TimePoint> readers;
  };

  std::uint64_t NextGeneration();
  bool HasRoom(StoreTier aTier, std::uint64_t aBytes) const;
  Row* FindWriting(const PieceKey& aPiece,
                   std::uint64_t aGeneration,
                   FailureReason& aReason);
  Row* FindSealed(const SealedPiece& aSealed, FailureReason& aReason);
  void Reclaim(std::uint64_t aGeneration);

  UpstreamId store;
  StoreSpace space;
  std::uint32_t incarnation;
  std::uint32_t generations = 0;
  std::uint64_t leases = 0;
  // Nothing expires before this time, so that Expire does not scan the rows
  // earlier.
  TimePoint nextExpiry = TimePoint::max();
  std::array<std::uint64_t, 2> used{};
  // Rows by generation; a freeing row may coexist with a newer one of its key.
  std::map<std::uint64_t, Row> rows;
  // Generation of the writing or sealed row of each key.
  std::unordered_map<PieceKey, std::uint64_t> current;
};

} // namespace wigeonwalk
