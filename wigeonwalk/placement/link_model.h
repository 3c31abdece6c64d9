// One link to a store host's tier or between availability zones: its budget,
// its queue of transfers and its estimated rate.
//
//   link.Submit({ id, TransferKind::CallerRestore, organisation, bytes }, now);
//   while (auto next = link.Start(now)) { ... }
//   link.Finish(id, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Why bytes are moved, in order of precedence.
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

// One transfer, of about one piece.
struct Transfer
{
  std::uint64_t id = 0;
  TransferKind kind = TransferKind::CallerRestore;
  OrganisationId organisation;
  std::uint64_t bytes = 0;
};

// What a link may carry.
struct LinkLimits
{
  // Rate that the service document states, in bytes a second.
  double bytesPerSecond = 0;
  // Part of that rate that this daemon may use.
  double budget = 1;
  // Transfers at a time; they share the rate.
  std::uint32_t slots = 4;
};

// A link below this part of its stated rate counts as slow.
inline constexpr double kSlowPart = 0.5;

// An estimate moves halfway back to the stated rate in this time without a
// transfer, so that a link that recovered is tried again. At one minute every
// daemon tried a slow link again every few minutes, at a caller's expense.
inline constexpr Duration kRateRecovery = std::chrono::minutes(10);

// One link. One thread only.
class LinkModel
{
public:
  explicit LinkModel(LinkLimits aLimits);

  void Submit(Transfer aTransfer, TimePoint aNow);

  // Starts the next transfer, or returns nothing where no slot is free or
  // nothing may start. Callers' restores go first; among equals, the
  // organisation that has moved the fewest bytes. One organisation never holds
  // all slots, and other work starts only while no caller waits.
  std::optional<Transfer> Start(TimePoint aNow);

  // Ends a transfer; a completed one teaches the rate.
  void Finish(std::uint64_t aId, bool aCompleted, TimePoint aNow);

  // Returns running transfers to cancel because a caller waits for a slot.
  std::vector<std::uint64_t> ToPreempt() const;

  // Estimated rate for this daemon in bytes a second. A running transfer that
  // takes longer than expected lowers it before it ends.
  double Rate(TimePoint aNow) const;

  bool IsSlow(TimePoint aNow) const;

  // Estimated time until a new transfer would be complete, in seconds.
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
    // Value of `concurrency` at the start.
    double concurrencyAtStart = 0;
  };

  void Advance(TimePoint aNow);
  double ConcurrencyAt(TimePoint aNow) const;
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
  double concurrency = 0;
  TimePoint advanced;
  // Bytes started for each organisation, less the bytes of the one that had the
  // fewest when it joined; see Submit.
  std::unordered_map<OrganisationId, double> moved;
  double floor = 0;
};

} // namespace wigeonwalk
