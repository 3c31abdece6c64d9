#include "wigeonwalk/cache/piece_table.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const UpstreamId kStore("store-lech");
const PieceKey kKey{ 1, 2 };
const TimePoint kStart{ std::chrono::hours(1) };

SealedPiece
SealOf(const WriteReservation& aTicket, std::uint64_t aBytes)
{
  return {
    kStore, aTicket.piece, aTicket.generation, aBytes, 77, aTicket.tier
  };
}

SealedPiece
Store(PieceTable& aTable, TimePoint aNow)
{
  FailureReason reason;
  const auto ticket =
    aTable.Reserve(kKey, 100, StoreTier::Memory, aNow, reason);
  REQUIRE(ticket);
  REQUIRE(aTable.Write(*ticket, 0, 100, aNow, reason));
  REQUIRE(aTable.Seal(SealOf(*ticket, 100), 77, aNow, reason));
  return SealOf(*ticket, 100);
}

} // namespace

// Guards against a read of a partly written piece or of other bytes (invariant
// I1).
SCENARIO("a piece can only be read after its seal", "[piece_table]")
{
  PieceTable table(kStore, { 150, 150 }, 1);
  FailureReason reason;
  const auto ticket =
    table.Reserve(kKey, 100, StoreTier::Memory, kStart, reason);
  REQUIRE(ticket);
  const SealedPiece sealed = SealOf(*ticket, 100);

  struct Fault
  {
    const char* name;
    std::function<bool()> attempt;
    ReasonCode expected;
  };
  const Fault faults[] = {
    { "read before the seal",
      [&] { return table.Acquire(sealed, kStart, reason).has_value(); },
      ReasonCode::Stale },
    { "seal of a partly written piece",
      [&] {
        return table.Write(*ticket, 0, 60, kStart, reason) &&
               table.Seal(sealed, 77, kStart, reason);
      },
      ReasonCode::Corrupt },
    { "write that leaves a gap",
      [&] { return table.Write(*ticket, 61, 39, kStart, reason); },
      ReasonCode::InvalidArgument },
    { "write past the reservation",
      [&] { return table.Write(*ticket, 60, 41, kStart, reason); },
      ReasonCode::InvalidArgument },
    { "seal whose checksum differs from the stored bytes",
      [&] {
        return table.Write(*ticket, 60, 40, kStart, reason) &&
               table.Seal(sealed, 78, kStart, reason);
      },
      ReasonCode::Corrupt },
    { "second writer",
      [&] {
        return table.Reserve(kKey, 10, StoreTier::Disk, kStart, reason)
          .has_value();
      },
      ReasonCode::AlreadyExists },
    { "reservation beyond the tier",
      [&] {
        return table.Reserve({ 3, 4 }, 51, StoreTier::Memory, kStart, reason)
          .has_value();
      },
      ReasonCode::Overloaded },
  };
  for (const Fault& fault : faults) {
    INFO(fault.name);
    reason = {};
    CHECK_FALSE(fault.attempt());
    CHECK(reason.code == fault.expected);
    CHECK(table.List().empty());
  }
  // The writes above add up to the whole piece.
  REQUIRE(table.Seal(sealed, 77, kStart, reason));
  CHECK(table.Acquire(sealed, kStart, reason));
  CHECK(table.List().size() == 1);
}

// Guards against a read of freed space, and against space that is never
// reclaimed (invariant I1).
SCENARIO("freeing a piece never gives a reader wrong bytes", "[piece_table]")
{
  PieceTable table(kStore, { 250, 250 }, 1);
  FailureReason reason;
  const SealedPiece sealed = Store(table, kStart);
  const auto lease = table.Acquire(sealed, kStart, reason);
  REQUIRE(lease);

  WHEN("the free waits for readers")
  {
    REQUIRE(table.Free(sealed, FreeMode::WaitForReaders, kStart, reason));
    THEN("the current reader may finish, and no new read may start")
    {
      CHECK(table.IsReadValid(*lease, kStart + 1s));
      CHECK_FALSE(table.Acquire(sealed, kStart + 1s, reason));
      CHECK(table.UsedBytes(StoreTier::Memory) == 100);
    }
    THEN("the space is reclaimed with the last lease")
    {
      CHECK(table.Release(*lease, reason));
      CHECK(table.UsedBytes(StoreTier::Memory) == 0);
    }
    THEN("the space of a reader that died is reclaimed after its lease")
    {
      table.Expire(kStart + kReadLeaseTime);
      CHECK_FALSE(table.IsReadValid(*lease, kStart + kReadLeaseTime));
      CHECK(table.UsedBytes(StoreTier::Memory) == 0);
    }
    THEN("the key can be written again beside the old reader")
    {
      const SealedPiece newer = Store(table, kStart + 1s);
      CHECK(newer.generation > sealed.generation);
      CHECK(table.IsReadValid(*lease, kStart + 2s));
    }
  }
  WHEN("the free raises the generation")
  {
    REQUIRE(table.Free(sealed, FreeMode::RaiseGeneration, kStart, reason));
    THEN("the space is reclaimed at once and the late read fails")
    {
      CHECK(table.UsedBytes(StoreTier::Memory) == 0);
      CHECK_FALSE(table.IsReadValid(*lease, kStart + 1s));
      CHECK_FALSE(table.Release(*lease, reason));
    }
  }
  WHEN("the piece should move to disk while it is read")
  {
    CHECK_FALSE(table.Move(sealed, StoreTier::Disk, kStart, reason));
    CHECK(reason.code == ReasonCode::Conflict);
    REQUIRE(table.Release(*lease, reason));
    const auto moved = table.Move(sealed, StoreTier::Disk, kStart, reason);
    THEN("it moves after the read, under a new generation")
    {
      REQUIRE(moved);
      CHECK(table.UsedBytes(StoreTier::Memory) == 0);
      CHECK(table.UsedBytes(StoreTier::Disk) == 100);
      CHECK_FALSE(table.Acquire(sealed, kStart, reason));
      CHECK(table.Acquire(*moved, kStart, reason));
    }
  }
  WHEN("the store host restarts empty and the same piece is written again")
  {
    PieceTable restarted(kStore, { 250, 250 }, 2);
    const SealedPiece newer = Store(restarted, kStart);
    THEN("nothing from before the restart matches")
    {
      CHECK(newer.generation != sealed.generation);
      CHECK_FALSE(restarted.Acquire(sealed, kStart, reason));
      CHECK_FALSE(restarted.IsReadValid(*lease, kStart));
    }
  }
  WHEN("a writer dies before its seal")
  {
    const auto ticket =
      table.Reserve({ 5, 6 }, 150, StoreTier::Memory, kStart, reason);
    REQUIRE(ticket);
    table.Expire(kStart + kReservationTimeout);
    THEN("its space is reclaimed and its late seal is refused")
    {
      CHECK(table.UsedBytes(StoreTier::Memory) == 100);
      CHECK_FALSE(table.Seal(
        SealOf(*ticket, 150), 77, kStart + kReservationTimeout, reason));
    }
  }
}
