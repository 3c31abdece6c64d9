#include "wigeonwalk/placement/link_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonwalk {

namespace {

// Weight of the newest observed rate. At one half, the estimate of a link at a
// tenth of its rate falls below kSlowRateFraction after two transfers (0.55,
// then 0.33).
constexpr double kNewestWeight = 0.5;

// Transfers shorter than this, in seconds, are too short to estimate a rate.
constexpr double kMinSampleSeconds = 0.0005;

} // namespace

LinkModel::LinkModel(LinkLimits aLimits)
  : limits(aLimits)
  , estimate(aLimits.bytesPerSecond * aLimits.budget)
{
  this->limits.slots = std::max<std::uint32_t>(this->limits.slots, 1);
}

void
LinkModel::Advance(TimePoint aNow)
{
  this->concurrencyIntegral = this->ConcurrencyIntegralAt(aNow);
  this->advancedAt = std::max(this->advancedAt, aNow);
}

double
LinkModel::ConcurrencyIntegralAt(TimePoint aNow) const
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - this->advancedAt));
  return this->concurrencyIntegral +
         elapsed * static_cast<double>(this->running.size());
}

double
LinkModel::Moved(const OrganisationId& aOrganisation) const
{
  const auto row = this->moved.find(aOrganisation);
  return row == this->moved.end() ? this->floor
                                  : std::max(row->second, this->floor);
}

void
LinkModel::Submit(Transfer aTransfer, TimePoint aNow)
{
  this->Advance(aNow);
  // Once the link is idle, all organisations continue from the same count, so
  // that none gets credit for the time in which it had no work.
  if (this->queue.empty() && this->running.empty()) {
    for (const auto& [organisation, bytes] : this->moved) {
      this->floor = std::max(this->floor, bytes);
    }
    this->moved.clear();
  }
  this->queue.push_back(std::move(aTransfer));
}

bool
LinkModel::MayStart(const Transfer& aTransfer) const
{
  const auto held =
    std::count_if(this->running.begin(), this->running.end(), [&](auto& aRow) {
      return aRow.transfer.organisation == aTransfer.organisation;
    });
  const std::size_t cap =
    this->limits.slots > 1 ? this->limits.slots - 1 : this->limits.slots;
  return static_cast<std::size_t>(held) < cap;
}

bool
LinkModel::Precedes(const Transfer& aLeft, const Transfer& aRight) const
{
  if (aLeft.kind != aRight.kind) {
    return aLeft.kind < aRight.kind;
  }
  return this->Moved(aLeft.organisation) < this->Moved(aRight.organisation);
}

std::optional<Transfer>
LinkModel::Start(TimePoint aNow)
{
  this->Advance(aNow);
  if (this->running.size() >= this->limits.slots) {
    return std::nullopt;
  }
  auto next = this->queue.end();
  bool callerWaits = false;
  for (auto row = this->queue.begin(); row != this->queue.end(); ++row) {
    callerWaits = callerWaits || row->kind == TransferKind::CallerRestore;
    if (this->MayStart(*row) &&
        (next == this->queue.end() || this->Precedes(*row, *next))) {
      next = row;
    }
  }
  if (next == this->queue.end() ||
      (callerWaits && next->kind != TransferKind::CallerRestore)) {
    return std::nullopt;
  }
  Transfer transfer = std::move(*next);
  this->queue.erase(next);
  const double before = this->Moved(transfer.organisation);
  this->moved[transfer.organisation] =
    before + static_cast<double>(transfer.bytes);
  this->running.push_back({ transfer, aNow, this->concurrencyIntegral });
  return transfer;
}

double
LinkModel::ObservedRate(const Active& aActive, TimePoint aNow) const
{
  const double elapsed =
    std::max(ToSeconds(aNow - aActive.start), kMinSampleSeconds);
  const double sharing =
    (this->ConcurrencyIntegralAt(aNow) - aActive.integralAtStart) / elapsed;
  return static_cast<double>(aActive.transfer.bytes) * std::max(1.0, sharing) /
         elapsed;
}

void
LinkModel::Finish(std::uint64_t aId, bool aCompleted, TimePoint aNow)
{
  const auto same = [aId](const auto& aRow) { return aRow.id == aId; };
  std::erase_if(this->queue, same);
  const auto active =
    std::find_if(this->running.begin(), this->running.end(), [&](auto& aRow) {
      return aRow.transfer.id == aId;
    });
  if (active == this->running.end()) {
    return;
  }
  this->Advance(aNow);
  if (aCompleted && ToSeconds(aNow - active->start) >= kMinSampleSeconds) {
    const double ceiling = this->limits.bytesPerSecond * this->limits.budget;
    const double observed =
      std::min(this->ObservedRate(*active, aNow), ceiling);
    this->estimate += kNewestWeight * (observed - this->estimate);
    this->lastSample = aNow;
  }
  this->running.erase(active);
}

std::vector<std::uint64_t>
LinkModel::ToPreempt() const
{
  std::vector<std::uint64_t> ids;
  const bool full = this->running.size() >= this->limits.slots;
  const bool callerWaits =
    std::any_of(this->queue.begin(), this->queue.end(), [&](auto& aRow) {
      return aRow.kind == TransferKind::CallerRestore && this->MayStart(aRow);
    });
  if (!full || !callerWaits) {
    return ids;
  }
  for (const Active& active : this->running) {
    if (active.transfer.kind != TransferKind::CallerRestore) {
      ids.push_back(active.transfer.id);
    }
  }
  return ids;
}

double
LinkModel::Rate(TimePoint aNow) const
{
  const double stated = this->limits.bytesPerSecond * this->limits.budget;
  double rate = this->estimate;
  if (this->running.empty() && aNow > this->lastSample) {
    const double halfLives =
      ToSeconds(aNow - this->lastSample) / ToSeconds(kRateRecoveryHalfLife);
    rate = stated + (rate - stated) * std::exp2(-halfLives);
  }
  for (const Active& active : this->running) {
    rate = std::min(rate, this->ObservedRate(active, aNow));
  }
  return std::max(rate, 1.0);
}

bool
LinkModel::IsSlow(TimePoint aNow) const
{
  return this->Rate(aNow) <
         kSlowRateFraction * this->limits.bytesPerSecond * this->limits.budget;
}

double
LinkModel::ExpectedSeconds(TransferKind aKind,
                           const OrganisationId& aOrganisation,
                           std::uint64_t aBytes,
                           TimePoint aNow) const
{
  const double rate = this->Rate(aNow);
  double ahead = 0;
  for (const Active& active : this->running) {
    const double done = rate * ToSeconds(aNow - active.start) /
                        static_cast<double>(this->running.size());
    ahead += std::max(0.0, static_cast<double>(active.transfer.bytes) - done);
  }
  // Other organisations' transfers of the same kind go first only up to their
  // fair share, which is as many bytes as this organisation's own.
  double own = static_cast<double>(aBytes);
  std::unordered_map<OrganisationId, double> others;
  for (const Transfer& transfer : this->queue) {
    const auto bytes = static_cast<double>(transfer.bytes);
    if (transfer.kind < aKind) {
      ahead += bytes;
    } else if (transfer.kind == aKind) {
      if (transfer.organisation == aOrganisation) {
        own += bytes;
      } else {
        others[transfer.organisation] += bytes;
      }
    }
  }
  for (const auto& [organisation, bytes] : others) {
    ahead += std::min(bytes, own);
  }
  return (ahead + own) / rate;
}

} // namespace wigeonwalk
