// Decides which pieces of KV cache are worth keeping, where, and for how long.
//
// The worth of keeping a piece is the chance that its prompt returns times the
// accelerator seconds that it then saves, minus the price of the space and of
// the link.
//
//   Retention retention(prices);
//   switch (retention.BeforeEviction(piece, scarcity)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/store_host.h"

#include <optional>

namespace wigeonwalk {

// Number of store hosts over which a new prompt's pieces are spread, in
// contiguous parts. Parts on several hosts are restored in parallel, but if one
// host is lost, every prompt with a part there loses all pieces from that part
// on.
constexpr std::uint32_t
SpreadParts(PlacementGoal aWeighing)
{
  return aWeighing == PlacementGoal::TimeToFirstToken ? 2 : 1;
}

// First piece of a part when a prompt of `aPieces` is spread over `aParts`. The
// last part also takes the pieces that the prompt gains later.
constexpr std::uint32_t
PartBegin(std::uint32_t aPart, std::uint32_t aParts, std::uint32_t aPieces)
{
  return aPieces * aPart / aParts;
}

// Decision about a piece.
enum class RetentionAction
{
  KeepInMemory,
  KeepOnDisk,
  Drop,
};

template<>
struct EnumNames<RetentionAction>
{
  static constexpr std::array<EnumName<RetentionAction>, 3> kTable{ {
    { RetentionAction::KeepInMemory, "keep-in-memory" },
    { RetentionAction::KeepOnDisk, "keep-on-disk" },
    { RetentionAction::Drop, "drop" },
  } };
};
static_assert(HasCompleteTable<RetentionAction>());

// Prices in accelerator seconds.
struct RetentionPrices
{
  // Price of moving 1 GiB once over a link at half utilisation; see Scarcity.
  double link = 0.01;
};

// How scarce each resource is now.
struct Scarcity
{
  // ValueDensity of the pieces that the tier evicts now, in accelerator seconds
  // per GiB; zero while it has space. It is the price of space, because a piece
  // of lower density would be evicted next.
  double memoryDensity = 0;
  double diskDensity = 0;
  // Utilisation of the link, from 0 to 1.
  double link = 0;
};

// A piece that is stored or may be stored.
struct PieceValue
{
  std::uint64_t bytes = 0;
  // Accelerator seconds that recomputing the piece takes.
  double recomputeSeconds = 0;
  // Seconds that reading the piece from each tier takes, without queueing.
  double memoryReadSeconds = 0;
  double diskReadSeconds = 0;
  // Chance, from 0 to 1, that its prompt returns within `horizon`.
  double returnChance = 0;
  Duration horizon = std::chrono::hours(1);
  // Copies that other store hosts hold, besides the one in question.
  std::uint32_t otherCopies = 0;
};

// Link utilisation at which prefetch and replication stop.
inline constexpr double kIdleLinkMaxUtilisation = 0.5;

// Worth of a further copy relative to the first. Store hosts are rarely lost,
// so further copies should only fill space that first copies leave. At 0.2 they
// displaced first copies, and the share of recomputed tokens rose
// (docs/decisions/placement.md, round 2).
inline constexpr double kFurtherCopyFactor = 0.05;

// Decides about individual pieces. Holds only prices and is thread-safe.
class Retention
{
public:
  explicit Retention(RetentionPrices aPrices)
    : prices(aPrices)
  {
  }

  // Returns the net worth, in accelerator seconds, of keeping a piece in a tier
  // over its horizon. If it is not positive, keeping the piece costs at least
  // as much as it saves.
  double Worth(const PieceValue& aPiece,
               StoreTier aTier,
               const Scarcity& aScarcity) const;

  // Decides about a piece that a runner is about to evict: where it is kept, or
  // that it is dropped. Takes the price of the link for the export into
  // account.
  RetentionAction BeforeEviction(const PieceValue& aPiece,
                                 const Scarcity& aScarcity) const;

  // Decides about a piece that a store host holds: kept in its tier, moved or
  // dropped.
  RetentionAction Review(const PieceValue& aPiece,
                         StoreTier aTier,
                         const Scarcity& aScarcity) const;

  // Returns the accelerator seconds per GiB that keeping a piece in a tier
  // saves. A full tier evicts the pieces of lowest density first. A piece that
  // is evicted from memory moves to disk, so that memory saves only the
  // difference in read time.
  double ValueDensity(const PieceValue& aPiece, StoreTier aTier) const;

  // Returns true if a piece should be moved from disk to memory, or imported,
  // before a likely return: the link has spare time and the expected seconds
  // saved exceed the price. `aSoonChance` is the chance that the prompt returns
  // while the prefetched copy would be held.
  bool ShouldPrefetch(const PieceValue& aPiece,
                      double aSoonChance,
                      const Scarcity& aScarcity) const;

  // Returns true if a piece with one copy should have a second one in another
  // availability zone.
  bool ShouldReplicate(const PieceValue& aPiece,
                       const Scarcity& aScarcity) const;

private:
  RetentionPrices prices;
};

} // namespace wigeonwalk
