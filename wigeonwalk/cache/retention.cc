#include "wigeonwalk/cache/retention.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

constexpr double kGibibyte = 1024.0 * 1024 * 1024;

// Raises a price with scarcity: 1 while idle, 2 at half, 10 at nine tenths.
double
Scarcity(double aPressure)
{
  return 1 / (1 - std::clamp(aPressure, 0.0, 0.99));
}

double
Gibibytes(const PieceValue& aPiece)
{
  return static_cast<double>(aPiece.bytes) / kGibibyte;
}

// Seconds that a return saves when the piece is read from a tier. Reading back
// slower than recomputing still saves accelerator time, but not the caller's.
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
                 const Pressure& aPressure) const
{
  const bool memory = aTier == StoreTier::Memory;
  const double hours = ToSeconds(aPiece.horizon) / 3600;
  const double space =
    Gibibytes(aPiece) * hours *
    (memory ? this->prices.memorySpace * Scarcity(aPressure.memory)
            : this->prices.diskSpace * Scarcity(aPressure.disk));
  return aPiece.returnChance * SavedSeconds(aPiece, aTier) - space;
}

RetentionAction
Retention::BeforeEviction(const PieceValue& aPiece,
                          const Pressure& aPressure) const
{
  const double move =
    Gibibytes(aPiece) * this->prices.link * Scarcity(aPressure.link);
  const double memory = aPressure.memory < kFullPressure
                          ? this->Worth(aPiece, StoreTier::Memory, aPressure)
                          : 0;
  const double disk = this->Worth(aPiece, StoreTier::Disk, aPressure);
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
                  const Pressure& aPressure) const
{
  const double disk = this->Worth(aPiece, StoreTier::Disk, aPressure);
  if (aTier == StoreTier::Memory) {
    const double memory = this->Worth(aPiece, StoreTier::Memory, aPressure);
    if (memory > 0 && memory >= disk) {
      return RetentionAction::KeepInMemory;
    }
  }
  return disk > 0 ? RetentionAction::KeepOnDisk : RetentionAction::Drop;
}

double
Retention::Density(const PieceValue& aPiece, StoreTier aTier) const
{
  const double size = std::max(Gibibytes(aPiece), 1e-9);
  const double shared = 1.0 + aPiece.otherCopies;
  return aPiece.returnChance * SavedSeconds(aPiece, aTier) / size / shared;
}

bool
Retention::ShouldPrefetch(const PieceValue& aPiece,
                          double aSoonChance,
                          const Pressure& aPressure) const
{
  if (aPressure.link >= kIdleLinkPressure ||
      aPressure.memory >= kFullPressure) {
    return false;
  }
  const double gain = aPiece.diskReadSeconds - aPiece.memoryReadSeconds;
  const double price =
    Gibibytes(aPiece) * this->prices.link * Scarcity(aPressure.link);
  return aSoonChance * gain > price;
}

bool
Retention::ShouldReplicate(const PieceValue& aPiece,
                           double aReadsPerHour,
                           const Pressure& aPressure) const
{
  return aPiece.otherCopies == 0 && aReadsPerHour >= kHotReadsPerHour &&
         aPressure.link < kIdleLinkPressure && aPressure.memory < kFullPressure;
}

} // namespace wigeonwalk
