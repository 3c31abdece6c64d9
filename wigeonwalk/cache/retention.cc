#include "wigeonwalk/cache/retention.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

constexpr double kGibibyte = 1024.0 * 1024 * 1024;

// Returns the factor by which a link's price rises with its utilisation: 0 when
// idle, 1 at half, 9 at nine tenths.
double
LinkPriceFactor(double aUse)
{
  const double use = std::clamp(aUse, 0.0, 0.99);
  return use / (1 - use);
}

double
Gibibytes(const PieceValue& aPiece)
{
  return static_cast<double>(aPiece.bytes) / kGibibyte;
}

// Returns the seconds that reading a piece from a tier saves over recomputing
// it. A read slower than recomputing counts as no saving: it would save
// accelerator time, but delay the caller.
double
SavedSeconds(const PieceValue& aPiece, StoreTier aTier)
{
  const double read = aTier == StoreTier::Memory ? aPiece.memoryReadSeconds
                                                 : aPiece.diskReadSeconds;
  return std::max(0.0, aPiece.recomputeSeconds - read);
}

} // namespace

double
Retention::Worth(const PieceValue& aPiece,
                 StoreTier aTier,
                 const Scarcity& aScarcity) const
{
  const double price = aTier == StoreTier::Memory ? aScarcity.memoryDensity
                                                  : aScarcity.diskDensity;
  return aPiece.returnChance * SavedSeconds(aPiece, aTier) -
         price * Gibibytes(aPiece);
}

RetentionAction
Retention::BeforeEviction(const PieceValue& aPiece,
                          const Scarcity& aScarcity) const
{
  const double move =
    Gibibytes(aPiece) * this->prices.link * LinkPriceFactor(aScarcity.link);
  const double memory = this->Worth(aPiece, StoreTier::Memory, aScarcity);
  const double disk = this->Worth(aPiece, StoreTier::Disk, aScarcity);
  // A copy elsewhere already saves the recomputation.
  if (aPiece.otherCopies > 0 || std::max(memory, disk) <= move) {
    return RetentionAction::Drop;
  }
  return memory >= disk ? RetentionAction::KeepInMemory
                        : RetentionAction::KeepOnDisk;
}

RetentionAction
Retention::Review(const PieceValue& aPiece,
                  StoreTier aTier,
                  const Scarcity& aScarcity) const
{
  const double disk = this->Worth(aPiece, StoreTier::Disk, aScarcity);
  if (aTier == StoreTier::Memory) {
    const double memory = this->Worth(aPiece, StoreTier::Memory, aScarcity);
    if (memory > 0 && memory >= disk) {
      return RetentionAction::KeepInMemory;
    }
  }
  return disk > 0 ? RetentionAction::KeepOnDisk : RetentionAction::Drop;
}

double
Retention::ValueDensity(const PieceValue& aPiece, StoreTier aTier) const
{
  const double size = std::max(Gibibytes(aPiece), 1e-9);
  const double part = aPiece.otherCopies > 0 ? kFurtherCopyFactor : 1;
  const double saved =
    aTier == StoreTier::Disk
      ? SavedSeconds(aPiece, aTier)
      : std::max(0.0, aPiece.diskReadSeconds - aPiece.memoryReadSeconds);
  return aPiece.returnChance * saved * part / size;
}

bool
Retention::ShouldPrefetch(const PieceValue& aPiece,
                          double aSoonChance,
                          const Scarcity& aScarcity) const
{
  if (aScarcity.link >= kIdleLinkMaxUtilisation) {
    return false;
  }
  const double gain = aPiece.diskReadSeconds - aPiece.memoryReadSeconds;
  const double price =
    Gibibytes(aPiece) * (aScarcity.memoryDensity +
                         this->prices.link * LinkPriceFactor(aScarcity.link));
  return aSoonChance * gain > price;
}

bool
Retention::ShouldReplicate(const PieceValue& aPiece,
                           const Scarcity& aScarcity) const
{
  if (aPiece.otherCopies != 1 || aScarcity.link >= kIdleLinkMaxUtilisation) {
    return false;
  }
  const double price =
    Gibibytes(aPiece) * (aScarcity.diskDensity +
                         this->prices.link * LinkPriceFactor(aScarcity.link));
  return kFurtherCopyFactor * aPiece.returnChance *
           SavedSeconds(aPiece, StoreTier::Disk) >
         price;
}

} // namespace wigeonwalk
