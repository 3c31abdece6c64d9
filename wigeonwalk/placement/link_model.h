// Model of one link, to a store host's tier or between availability zones: its
// budget, its queue of transfers and its estimated rate.
//
//   link.Submit({ id, TransferKind::CallerRestore, organisation, bytes }, now);
//   while (auto next = link.Start(now)) { ... }
//   link.Finish(id, true, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Purpose of a transfer, in order of precedence.
enum class TransferKind
{
  CallerRestore,
  Prefetch,
  Export,
  Replicate,
};

template<>
struct EnumNames<TransferKind>
{
  static constexpr std::array<EnumName<TransferKind>, 4> kTable{ {
    { TransferKind::CallerRestore, "caller-restore" },
    { TransferKind::Prefetch, "prefetch" },
    { TransferKind::Export, "export" },
    { TransferKind::Replicate, "replicate" },
  } };
};
static_assert(HasCompleteTable<TransferKind>());

// One transfer, of about the size of one piece.
struct Transfer
{
  std::uint64_t id = 0;
  TransferKind kind = TransferKind::CallerRestore;
  OrganisationId organisation;
  std::uint64_t bytes = 0;
};

// Rate and concurrency limits of one link.
struct LinkLimits
{
  // Rate that the service document states, in bytes per second.
  double bytesPerSecond = 0;
  // Fraction of that rate that this daemon may use.
  double budget = 1;
  // Maximum number of concurrent transfers, which share the rate.
  std::uint32_t slots = 4;
};

// A link below this fraction of its stated rate counts as slow.
inline constexpr double kSlowRateFraction = 0.5;

// Without transfers, an estimated rate moves halfway back to the stated rate in
// this time, so that a recovered link is used again. At one minute, every
// daemon tried a slow link again every few minutes, and each time delayed a
// caller.
inline constexpr Duration kRateRecoveryHalfLife = std::chrono::minutes(10);

// One link. One thread only.
class LinkModel
{
public:
  explicit LinkModel(LinkLimits aLimits);

  void Submit(Transfer aTransfer, TimePoint aNow);

  // Starts and returns the next transfer, or returns nullopt if no slot is free
  // or no transfer may start. Restores for callers go first. Among transfers of
  // one kind, the organisation that has moved the fewest bytes goes first. One
  // organisation never holds all of several slots, and other kinds of transfers
  // start only while no restore for a caller waits.
  std::optional<Transfer> Start(TimePoint aNow);

  // Ends a queued or running transfer. A completed one updates the estimated
  // rate.
  void Finish(std::uint64_t aId, bool aCompleted, TimePoint aNow);

  // Returns the running transfers to cancel because a restore for a caller
  // waits for a slot.
  std::vector<std::uint64_t> ToPreempt() const;

  // Returns the estimated rate for this daemon, in bytes per second. A running
  // transfer that takes longer than expected lowers the estimate before it
  // ends.
  double Rate(TimePoint aNow) const;

  bool IsSlow(TimePoint aNow) const;

  // Returns the estimated time until a new transfer would be complete, in
  // seconds.
  double ExpectedSeconds(TransferKind aKind,
                         const OrganisationId& aOrganisation,
                         std::uint64_t aBytes,
                         TimePoint aNow) const;

  std::size_t Queued() const { return this->queue.size(); }
  std::size_t Running() const { return this->running.size(); }

private:
  struct Active
  {
    Transfer transfer;
    TimePoint start;
    // Value of `concurrencyIntegral` at the start.
    double integralAtStart = 0;
  };

  void Advance(TimePoint aNow);
  double ConcurrencyIntegralAt(TimePoint aNow) const;
  double ObservedRate(const Active& aActive, TimePoint aNow) const;
  bool MayStart(const Transfer& aTransfer) const;
  bool Precedes(const Transfer& aLeft, const Transfer& aRight) const;
  double Moved(const OrganisationId& aOrganisation) const;

  LinkLimits limits;
  double estimate;
  TimePoint lastSample;
  std::vector<Transfer> queue;
  std::vector<Active> running;
  // Integral of the number of running transfers over time, in seconds.
  double concurrencyIntegral = 0;
  TimePoint advancedAt;
  // Bytes of all transfers started for each organisation. An organisation
  // without a row, or with a lower count, counts as having moved `floor` bytes;
  // see Submit.
  std::unordered_map<OrganisationId, double> moved;
  double floor = 0;
};

} // namespace wigeonwalk
