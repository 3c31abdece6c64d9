// Which pieces of cache are worth keeping, where, and for how long.
//
// The worth of keeping a piece is the chance that its prompt returns times the
// accelerator seconds that it then saves, less the price of the space and of
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
// contiguous parts. Parts on several hosts are restored in parallel, but the
// loss of one host costs every prompt with a part there all pieces from that
// part on.
constexpr std::uint32_t
SpreadParts(Weighing aWeighing)
{
  return aWeighing == Weighing::TimeToFirstToken ? 2 : 1;
}

// First piece of a part when a prompt of `aPieces` is spread over `aParts`. The
// last part also takes the pieces that the prompt gains later.
constexpr std::uint32_t
PartBegin(std::uint32_t aPart, std::uint32_t aParts, std::uint32_t aPieces)
{
  return aPieces * aPart / aParts;
}

// What to do with a piece.
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
  // For 1 GiB moved once over a link that is half used; see Scarcity.
  double link = 0.01;
};

// How scarce each resource is now.
struct Scarcity
{
  // Density of what the tier evicts now, in accelerator seconds for each GiB;
  // zero while it has room. It is the price of space: whatever is worth less
  // would be evicted next.
  double memoryDensity = 0;
  double diskDensity = 0;
  // Part of the link's time in use, from 0 to 1.
  double link = 0;
};

// A piece that is or may be kept.
struct PieceValue
{
  std::uint64_t bytes = 0;
  // Accelerator seconds that recomputing it takes.
  double recomputeSeconds = 0;
  // Seconds that reading it back takes from each tier, without queueing.
  double memoryReadSeconds = 0;
  double diskReadSeconds = 0;
  // Chance that its prompt returns within `horizon`.
  double returnChance = 0;
  Duration horizon = std::chrono::hours(1);
  // Copies that other store hosts hold, besides the one in question.
  std::uint32_t otherCopies = 0;
};

// Part of a link's time that prefetch and replication may use.
inline constexpr double kIdleLinkPart = 0.5;

// Worth of a further copy relative to the first. A store host is rarely lost,
// so copies fill room that first copies leave; at 0.2 they displaced first
// copies and the share recomputed rose (docs/decisions/placement.md, round 2).
inline constexpr double kFurtherCopyPart = 0.05;

// Decides about single pieces. Holds only prices; thread-safe.
class Retention
{
public:
  explicit Retention(RetentionPrices aPrices)
    : prices(aPrices)
  {
  }

  // Net worth in accelerator seconds of keeping a piece in a tier over its
  // horizon. Not positive: keeping it costs more than it saves.
  double Worth(const PieceValue& aPiece,
               StoreTier aTier,
               const Scarcity& aScarcity) const;

  // Decides where a piece goes that a runner is about to evict. Exporting it
  // also costs the link.
  RetentionAction BeforeEviction(const PieceValue& aPiece,
                                 const Scarcity& aScarcity) const;

  // Decides about a piece that a store host holds: kept, moved or dropped.
  RetentionAction Review(const PieceValue& aPiece,
                         StoreTier aTier,
                         const Scarcity& aScarcity) const;

  // Orders pieces for eviction from a full tier: accelerator seconds that
  // keeping them there saves, for each GiB. The lowest goes first. A piece that
  // leaves memory goes to disk, so memory saves only the faster read.
  double Density(const PieceValue& aPiece, StoreTier aTier) const;

  // True where a piece should move from disk to memory, or be imported, ahead
  // of a likely return: the link is idle and the seconds saved exceed its
  // price. `aSoonChance` is the chance of return while the copy would wait.
  bool ShouldPrefetch(const PieceValue& aPiece,
                      double aSoonChance,
                      const Scarcity& aScarcity) const;

  // True where a piece with one copy should have a second one in another
  // availability zone.
  bool ShouldReplicate(const PieceValue& aPiece,
                       const Scarcity& aScarcity) const;

private:
  RetentionPrices prices;
};

} // namespace wigeonwalk
