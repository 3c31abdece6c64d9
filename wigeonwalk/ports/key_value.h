// Port for the platform's key-value service: reads, compare-and-swap, leases
// and watches. Only single-key compare-and-swap is assumed, no transactions
// over several keys.
//
//   PutRequest put{ .key = "documents/orders", .value = text,
//                   .expectedRevision = entry.modRevision };
//   WriteResult result = co_await service.Put(put, deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Largest value that the service accepts, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

// Revisions and leases are numbered within an incarnation of the service, which
// the upper bits hold. It increases when the service is restored from an older
// copy of its data: later writes are then gone, and the numbers that they had
// are given out again. So revisions increase with every write, also across a
// restore, and those of an earlier incarnation name no state of the present
// one.
inline constexpr int kNumberBits = 40;

constexpr std::int64_t
MakeRevision(std::int64_t aIncarnation, std::int64_t aNumber)
{
  return (aIncarnation << kNumberBits) | aNumber;
}

constexpr std::int64_t
IncarnationOf(std::int64_t aRevision)
{
  return aRevision >> kNumberBits;
}

constexpr std::int64_t
NumberOf(std::int64_t aRevision)
{
  return aRevision & ((std::int64_t(1) << kNumberBits) - 1);
}

// Identifies a lease, with the incarnation in the upper bits; zero means none.
// A lease of an earlier incarnation has expired. The service need not number
// leases in sequence, so they get more bits than revisions.
using LeaseId = std::int64_t;

inline constexpr int kLeaseNumberBits = 53;

constexpr LeaseId
MakeLease(std::int64_t aIncarnation, std::int64_t aNumber)
{
  return (aIncarnation << kLeaseNumberBits) | aNumber;
}

constexpr std::int64_t
LeaseIncarnationOf(LeaseId aLease)
{
  return aLease >> kLeaseNumberBits;
}

constexpr std::int64_t
LeaseNumberOf(LeaseId aLease)
{
  return aLease & ((LeaseId(1) << kLeaseNumberBits) - 1);
}

// One key with its value.
struct KeyValueEntry
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  LeaseId lease = 0;

  bool operator==(const KeyValueEntry&) const = default;
};

// Result of a read of one key: the entry, if it exists, and the revision of the
// service at the time of the read.
struct ReadResult
{
  std::optional<KeyValueEntry> entry;
  std::int64_t revision = 0;
};

// Whether a write took effect, as far as the client knows.
enum class WriteOutcome
{
  // The write took effect.
  Applied,
  // The key's revision was not the expected one; nothing was written.
  Conflict,
  // The write may have taken effect; its response was lost.
  Unknown,
  // The write was never sent.
  NotSent,
};

template<>
struct EnumNames<WriteOutcome>
{
  static constexpr std::array<EnumName<WriteOutcome>, 4> kTable{ {
    { WriteOutcome::Applied, "applied" },
    { WriteOutcome::Conflict, "conflict" },
    { WriteOutcome::Unknown, "unknown" },
    { WriteOutcome::NotSent, "not-sent" },
  } };
};
static_assert(HasCompleteTable<WriteOutcome>());

// A write of one key.
struct PutRequest
{
  std::string key;
  std::string value;
  // The revision that the key must have, zero for a key that must not exist, or
  // nullopt for an unconditional write.
  std::optional<std::int64_t> expectedRevision;
  LeaseId lease = 0;
};

// Result of a write. On Applied, `revision` is the key's new revision; on
// Conflict, `current` is the key's current entry if the service returned it.
struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::NotSent;
  std::int64_t revision = 0;
  std::optional<KeyValueEntry> current;
};

// A change reported by a watch. A deletion has an empty value.
struct WatchEvent
{
  bool deleted = false;
  KeyValueEntry entry;
};

// Changes returned by a watch, and the revision at which the next watch starts.
struct WatchBatch
{
  std::vector<WatchEvent> events;
  std::int64_t nextRevision = 0;
};

// Client of the key-value service. Reads are linearizable. Each call counts
// against the platform's rate limit; a waiting watch counts as one call. A call
// returns by its deadline. After a restore, a watch from a revision of an
// earlier incarnation fails with Stale, a write that expects one with Conflict,
// and a call with a lease of one with Expired.
template<typename T>
concept KeyValueService =
  requires(T& aService,
           const std::string& aKey,
           const PutRequest& aPut,
           std::optional<std::int64_t> aExpectedRevision,
           std::int64_t aRevision,
           LeaseId aLease,
           Duration aTimeToLive,
           TimePoint aDeadline,
           FailureReason& aReason)
{
  {
    aService.Get(aKey, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<ReadResult>>>;
  {
    aService.List(aKey, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::vector<KeyValueEntry>>>>;
  {
    aService.Put(aPut, aDeadline, aReason)
    } -> std::same_as<Task<WriteResult>>;
  {
    aService.Delete(aKey, aExpectedRevision, aDeadline, aReason)
    } -> std::same_as<Task<WriteResult>>;
  {
    aService.GrantLease(aTimeToLive, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<LeaseId>>>;
  // Returns the lease's remaining time, or nullopt if it has expired.
  {
    aService.KeepAlive(aLease, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<Duration>>>;
  // Waits for changes of keys with a prefix, starting at a revision. Returns an
  // empty batch if none occurs before the deadline.
  {
    aService.Watch(aKey, aRevision, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<WatchBatch>>>;
};

} // namespace wigeonwalk
