#include "wigeonwalk/cache/piece_table.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

std::size_t
TierIndex(StoreTier aTier)
{
  return static_cast<std::size_t>(aTier);
}

bool
Refuse(FailureReason& aReason, ReasonCode aCode, const char* aDetail)
{
  Fail(aReason, aCode, aDetail);
  return false;
}

} // namespace

PieceTable::PieceTable(UpstreamId aStore,
                       StoreSpace aSpace,
                       std::uint32_t aIncarnation)
  : store(std::move(aStore))
  , space(aSpace)
  , incarnation(aIncarnation)
{
}

std::uint64_t
PieceTable::NextGeneration()
{
  return (std::uint64_t{ this->incarnation } << 32) | ++this->generations;
}

bool
PieceTable::HasRoom(StoreTier aTier, std::uint64_t aBytes) const
{
  const std::uint64_t total = aTier == StoreTier::Memory
                                ? this->space.memoryBytes
                                : this->space.diskBytes;
  const std::uint64_t taken = this->used[TierIndex(aTier)];
  return taken <= total && aBytes <= total - taken;
}

std::optional<WriteReservation>
PieceTable::Reserve(const PieceKey& aPiece,
                    std::uint64_t aBytes,
                    StoreTier aTier,
                    TimePoint aNow,
                    FailureReason& aReason)
{
  this->Expire(aNow);
  if (aBytes == 0) {
    return Fail(aReason,
                ReasonCode::InvalidArgument,
                "a piece must have at least one byte");
  }
  if (this->current.contains(aPiece)) {
    return Fail(aReason,
                ReasonCode::AlreadyExists,
                "the piece is already stored or being written");
  }
  if (!this->HasRoom(aTier, aBytes)) {
    return Fail(aReason, ReasonCode::Overloaded, "the tier is full");
  }
  const std::uint64_t generation = this->NextGeneration();
  Row row;
  row.piece.store = this->store;
  row.piece.piece = aPiece;
  row.piece.generation = generation;
  row.piece.tier = aTier;
  row.reserved = aBytes;
  row.reservedAt = aNow;
  this->nextExpiry = std::min(this->nextExpiry, aNow + kReservationTimeout);
  this->rows.emplace(generation, std::move(row));
  this->current[aPiece] = generation;
  this->used[TierIndex(aTier)] += aBytes;
  return WriteReservation{ this->store, aPiece, generation, aTier };
}

PieceTable::Row*
PieceTable::FindWriting(const PieceKey& aPiece,
                        std::uint64_t aGeneration,
                        FailureReason& aReason)
{
  const auto row = this->rows.find(aGeneration);
  if (row == this->rows.end() || row->second.piece.piece != aPiece) {
    Fail(
      aReason, ReasonCode::Stale, "the write ticket is unknown or has expired");
    return nullptr;
  }
  if (row->second.state != State::Writing) {
    Fail(aReason, ReasonCode::Conflict, "the piece is already sealed");
    return nullptr;
  }
  return &row->second;
}

PieceTable::Row*
PieceTable::FindSealed(const SealedPiece& aSealed, FailureReason& aReason)
{
  const auto row = this->rows.find(aSealed.generation);
  if (row == this->rows.end() || row->second.state != State::Sealed ||
      row->second.piece.piece != aSealed.piece) {
    Fail(aReason, ReasonCode::Stale, "no sealed piece has this generation");
    return nullptr;
  }
  if (row->second.piece.checksum != aSealed.checksum ||
      row->second.piece.bytes != aSealed.bytes) {
    Fail(aReason,
         ReasonCode::Corrupt,
         "the length or checksum differs from the sealed piece");
    return nullptr;
  }
  return &row->second;
}

bool
PieceTable::Write(const WriteReservation& aTicket,
                  std::uint64_t aOffset,
                  std::uint64_t aBytes,
                  TimePoint aNow,
                  FailureReason& aReason)
{
  this->Expire(aNow);
  Row* row = this->FindWriting(aTicket.piece, aTicket.generation, aReason);
  if (row == nullptr) {
    return false;
  }
  if (aOffset != row->written || aBytes > row->reserved - row->written) {
    return Refuse(aReason,
                  ReasonCode::InvalidArgument,
                  "the write is not contiguous or exceeds the reservation");
  }
  row->written += aBytes;
  return true;
}

bool
PieceTable::Seal(const SealedPiece& aSealed,
                 std::uint64_t aStoredChecksum,
                 TimePoint aNow,
                 FailureReason& aReason)
{
  this->Expire(aNow);
  Row* row = this->FindWriting(aSealed.piece, aSealed.generation, aReason);
  if (row == nullptr) {
    return false;
  }
  if (row->written != row->reserved || aSealed.bytes != row->reserved) {
    return Refuse(
      aReason,
      ReasonCode::Corrupt,
      "the piece is incompletely written or its length differs from the seal");
  }
  if (aSealed.checksum != aStoredChecksum) {
    return Refuse(aReason,
                  ReasonCode::Corrupt,
                  "the checksum of the stored bytes differs from the seal");
  }
  row->piece.bytes = aSealed.bytes;
  row->piece.checksum = aSealed.checksum;
  row->piece.root = aSealed.root;
  row->piece.index = aSealed.index;
  row->state = State::Sealed;
  return true;
}

std::optional<ReadLease>
PieceTable::Acquire(const SealedPiece& aSealed,
                    TimePoint aNow,
                    FailureReason& aReason)
{
  this->Expire(aNow);
  Row* row = this->FindSealed(aSealed, aReason);
  if (row == nullptr) {
    return std::nullopt;
  }
  const ReadLease lease{ ++this->leases, row->piece, aNow + kReadLeaseTime };
  row->readers.emplace(lease.lease, lease.expiresAt);
  this->nextExpiry = std::min(this->nextExpiry, lease.expiresAt);
  return lease;
}

bool
PieceTable::IsReadValid(const ReadLease& aLease, TimePoint aNow) const
{
  const auto row = this->rows.find(aLease.piece.generation);
  if (row == this->rows.end()) {
    return false;
  }
  const auto reader = row->second.readers.find(aLease.lease);
  return reader != row->second.readers.end() && aNow < reader->second;
}

bool
PieceTable::Release(const ReadLease& aLease, FailureReason& aReason)
{
  const auto row = this->rows.find(aLease.piece.generation);
  if (row == this->rows.end() || row->second.readers.erase(aLease.lease) == 0) {
    return Refuse(aReason, ReasonCode::Expired, "the read lease has ended");
  }
  if (row->second.state == State::Freeing && row->second.readers.empty()) {
    this->Reclaim(row->first);
  }
  return true;
}

bool
PieceTable::Free(const SealedPiece& aSealed,
                 FreeMode aMode,
                 TimePoint aNow,
                 FailureReason& aReason)
{
  this->Expire(aNow);
  Row* row = this->FindSealed(aSealed, aReason);
  if (row == nullptr) {
    return false;
  }
  this->current.erase(aSealed.piece);
  if (aMode == FreeMode::RaiseGeneration || row->readers.empty()) {
    this->Reclaim(aSealed.generation);
  } else {
    row->state = State::Freeing;
  }
  return true;
}

std::optional<SealedPiece>
PieceTable::Move(const SealedPiece& aSealed,
                 StoreTier aTier,
                 TimePoint aNow,
                 FailureReason& aReason)
{
  this->Expire(aNow);
  Row* row = this->FindSealed(aSealed, aReason);
  if (row == nullptr) {
    return std::nullopt;
  }
  if (!row->readers.empty()) {
    return Fail(
      aReason, ReasonCode::Conflict, "the piece has active read leases");
  }
  if (!this->HasRoom(aTier, row->reserved)) {
    return Fail(aReason, ReasonCode::Overloaded, "the tier is full");
  }
  Row moved = *row;
  this->Reclaim(aSealed.generation);
  moved.piece.generation = this->NextGeneration();
  moved.piece.tier = aTier;
  this->used[TierIndex(aTier)] += moved.reserved;
  this->current[moved.piece.piece] = moved.piece.generation;
  const SealedPiece piece = moved.piece;
  this->rows.emplace(piece.generation, std::move(moved));
  return piece;
}

void
PieceTable::Reclaim(std::uint64_t aGeneration)
{
  const auto row = this->rows.find(aGeneration);
  this->used[TierIndex(row->second.piece.tier)] -= row->second.reserved;
  const auto key = this->current.find(row->second.piece.piece);
  if (key != this->current.end() && key->second == aGeneration) {
    this->current.erase(key);
  }
  this->rows.erase(row);
}

void
PieceTable::Expire(TimePoint aNow)
{
  if (aNow < this->nextExpiry) {
    return;
  }
  this->nextExpiry = TimePoint::max();
  std::vector<std::uint64_t> ended;
  for (auto& [generation, row] : this->rows) {
    std::erase_if(row.readers, [aNow](const auto& aReader) {
      return aReader.second <= aNow;
    });
    for (const auto& [lease, expiresAt] : row.readers) {
      this->nextExpiry = std::min(this->nextExpiry, expiresAt);
    }
    if (row.state == State::Writing) {
      this->nextExpiry =
        std::min(this->nextExpiry, row.reservedAt + kReservationTimeout);
    }
    const bool writerExpired = row.state == State::Writing &&
                               aNow >= row.reservedAt + kReservationTimeout;
    const bool readersEnded =
      row.state == State::Freeing && row.readers.empty();
    if (writerExpired || readersEnded) {
      ended.push_back(generation);
    }
  }
  for (const std::uint64_t generation : ended) {
    this->Reclaim(generation);
  }
}

std::vector<SealedPiece>
PieceTable::List() const
{
  std::vector<SealedPiece> pieces;
  for (const auto& [generation, row] : this->rows) {
    if (row.state == State::Sealed) {
      pieces.push_back(row.piece);
    }
  }
  return pieces;
}

std::uint64_t
PieceTable::UsedBytes(StoreTier aTier) const
{
  return this->used[TierIndex(aTier)];
}

} // namespace wigeonwalk
