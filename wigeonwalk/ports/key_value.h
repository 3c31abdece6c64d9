// Port for the platform's key-value service: compare-and-swap on one key,
// leases and watches. Only single-key compare-and-swap is assumed.
//
//   PutRequest put{ .key = "documents/orders", .value = text,
//                   .expectedRevision = entry.modRevision };
//   WriteResult result = co_await service.Put(put, deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/last_reason.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Largest value the service holds, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

// Identifies a lease; zero means none.
using LeaseId = std::int64_t;

// One key with its value. Revisions rise with every write to the service.
struct KeyValueEntry
{
  std::string key;
  std::string value;
  std::int64_t createRevision = 0;
  std::int64_t modRevision = 0;
  LeaseId lease = 0;

  bool operator==(const KeyValueEntry&) const = default;
};

// Answer to a read of one key: the entry, if any, and the revision of the
// service at the time of the read.
struct ReadResult
{
  std::optional<KeyValueEntry> entry;
  std::int64_t revision = 0;
};

// What is known of a write.
enum class WriteOutcome
{
  // The write took effect.
  Applied,
  // The key's revision was not the expected one; nothing was written.
  Conflict,
  // The write may have taken effect; its answer was lost.
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
  // The revision the key must have, zero for a key that must not exist, or
  // nothing for an unconditional write.
  std::optional<std::int64_t> expectedRevision;
  LeaseId lease = 0;
};

// Answer to a write. On Applied, `revision` is the key's new revision; on
// Conflict, `current` is the present entry where the service returned it.
struct WriteResult
{
  WriteOutcome outcome = WriteOutcome::NotSent;
  std::int64_t revision = 0;
  std::optional<KeyValueEntry> current;
};

// A change that a watch reports. A deletion has an empty value.
struct WatchEvent
{
  bool deleted = false;
  KeyValueEntry entry;
};

// Changes that a watch returned, and the revision from which to go on.
struct WatchBatch
{
  std::vector<WatchEvent> events;
  std::int64_t nextRevision = 0;
};

// The service as flows see it. Reads are linearizable. Each call counts against
// the platform's rate, a waiting watch as one. A call returns by its deadline.
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
           LastReason& aReason)
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
  // Returns the lease's remaining time, or nothing where it has lapsed.
  {
    aService.KeepAlive(aLease, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<Duration>>>;
  // Waits for changes under a prefix from a revision on; an empty batch at
  // the deadline.
  {
    aService.Watch(aKey, aRevision, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<WatchBatch>>>;
};

} // namespace wigeonwalk
