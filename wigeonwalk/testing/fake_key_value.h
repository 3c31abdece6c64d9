// An in-memory key-value service in virtual time, with faults set by a table.
//
//   VirtualTime time;
//   FakeKeyValue service(time);
//   const TimePoint start = time.Now();
//   service.AddFault({ KeyValueFault::Down, start + 1s, start + 1h });
//   FakeKeyValue other = service.Connect(); // the connection of another daemon
//   WriteResult result = co_await service.Put(put, deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/testing/process_pause.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwalk {

namespace testing_internal {
struct KeyValueState;
} // namespace testing_internal

// Faults that can be injected.
enum class KeyValueFault
{
  // Connections are refused; nothing is sent.
  Down,
  // Requests are dropped without an answer; the caller waits until its
  // deadline.
  Silent,
  // The service handles a request only after `delay`, even if the caller has
  // timed out by then.
  Slow,
  // The service handles the request; the connection breaks before the answer.
  AnswerLost,
  // Watches report nothing until their deadline.
  QuietWatch,
  // At `from`, all leases attached to keys under the prefix lapse.
  LeaseLapsed,
  // The connection has died without a reset: the next call is dropped without
  // an answer, and later ones use a new connection. Of one connection only.
  DeadConnection,
};

template<>
struct EnumNames<KeyValueFault>
{
  static constexpr std::array<EnumName<KeyValueFault>, 7> kTable{ {
    { KeyValueFault::Down, "down" },
    { KeyValueFault::Silent, "silent" },
    { KeyValueFault::Slow, "slow" },
    { KeyValueFault::AnswerLost, "answer-lost" },
    { KeyValueFault::QuietWatch, "quiet-watch" },
    { KeyValueFault::LeaseLapsed, "lease-lapsed" },
    { KeyValueFault::DeadConnection, "dead-connection" },
  } };
};
static_assert(HasCompleteTable<KeyValueFault>());

// One row of the fault table: applies in [from, until) to calls on keys under a
// prefix. Lease calls have an empty key, so only rows with an empty prefix
// apply to them.
struct KeyValueFaultRow
{
  KeyValueFault fault = KeyValueFault::Down;
  TimePoint from;
  TimePoint until = TimePoint::max();
  Duration delay{ 0 };
  std::string keyPrefix;
};

// Kinds of call, which the service counts separately.
enum class KeyValueCall
{
  Get,
  List,
  Put,
  Delete,
  GrantLease,
  KeepAlive,
  Watch,
};

template<>
struct EnumNames<KeyValueCall>
{
  static constexpr std::array<EnumName<KeyValueCall>, 7> kTable{ {
    { KeyValueCall::Get, "get" },
    { KeyValueCall::List, "list" },
    { KeyValueCall::Put, "put" },
    { KeyValueCall::Delete, "delete" },
    { KeyValueCall::GrantLease, "grant-lease" },
    { KeyValueCall::KeepAlive, "keep-alive" },
    { KeyValueCall::Watch, "watch" },
  } };
};
static_assert(HasCompleteTable<KeyValueCall>());

// One connection to the fake service. Copies and connections made by Connect
// share the data. Every call is counted, including one that fails through a
// fault. A refusal by the service (lapsed lease, value too large) is NotSent
// with its reason.
class FakeKeyValue
{
public:
  // Round-trip time of a call without faults.
  static constexpr Duration kLatency = std::chrono::milliseconds(2);

  explicit FakeKeyValue(VirtualTime& aTime);

  // Returns another connection to the same data, without link faults.
  FakeKeyValue Connect() const;

  // Adds a fault for all connections.
  void AddFault(KeyValueFaultRow aRow);
  // Adds a fault for this connection only; not for LeaseLapsed.
  void AddLinkFault(KeyValueFaultRow aRow);

  // Makes this the connection of a process that is suspended during the pause:
  // it sends no call and receives no answer in that time.
  void SetPause(const ProcessPause* aPause) { this->pause = aPause; }

  // Ends a lease now and deletes its keys.
  void LapseLease(LeaseId aLease);

  // Keeps a copy of the data, and replaces the data by the last copy: later
  // writes and leases are gone, and a new incarnation begins.
  void TakeCopy();
  void RestoreCopy();

  // Calls of one kind, of all kinds, and in the busiest second so far.
  std::uint64_t Count(KeyValueCall aCall) const;
  std::uint64_t CountAll() const;
  std::uint64_t PeakPerSecond() const;
  // Calls in [aFrom, aUntil), both rounded down to whole seconds.
  std::uint64_t CountBetween(TimePoint aFrom, TimePoint aUntil) const;

  // All changes under a prefix since the start, in order.
  std::vector<WatchEvent> Changes(const std::string& aPrefix) const;

  // Read and write the data directly, without a counted call or faults.
  std::optional<KeyValueEntry> Peek(const std::string& aKey) const;
  std::int64_t Store(const std::string& aKey, const std::string& aValue);

  Task<std::optional<ReadResult>> Get(std::string aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason);
  Task<std::optional<std::vector<KeyValueEntry>>> List(std::string aPrefix,
                                                       TimePoint aDeadline,
                                                       FailureReason& aReason);
  Task<WriteResult> Put(PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason);
  Task<WriteResult> Delete(std::string aKey,
                           std::optional<std::int64_t> aExpectedRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason);
  Task<std::optional<LeaseId>> GrantLease(Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason);
  Task<std::optional<Duration>> KeepAlive(LeaseId aLease,
                                          TimePoint aDeadline,
                                          FailureReason& aReason);
  Task<std::optional<WatchBatch>> Watch(std::string aPrefix,
                                        std::int64_t aRevision,
                                        TimePoint aDeadline,
                                        FailureReason& aReason);

private:
  struct Reply;

  explicit FakeKeyValue(
    std::shared_ptr<testing_internal::KeyValueState> aState);

  const KeyValueFaultRow* FindFault(KeyValueFault aFault,
                                    const std::string& aKey) const;
  // Returns true if the connection is dead, and replaces it.
  bool ReplaceDeadConnection();
  void CountCall(KeyValueCall aCall);
  Task<void> WaitForPauseEnd();

  template<typename R, typename F>
  Task<std::optional<R>> Call(KeyValueCall aCall,
                              std::string aKey,
                              TimePoint aDeadline,
                              FailureReason& aReason,
                              F aApply);
  // Makes one call subject to the fault table; `aApply` is the effect on the
  // service.
  template<typename R, typename F>
  Task<std::optional<R>> Deliver(KeyValueCall aCall,
                                 std::string aKey,
                                 TimePoint aDeadline,
                                 FailureReason& aReason,
                                 F aApply);
  Task<WriteResult> Write(KeyValueCall aCall,
                          std::string aKey,
                          TimePoint aDeadline,
                          FailureReason& aReason,
                          std::function<Reply()> aApply);

  std::shared_ptr<testing_internal::KeyValueState> state;
  std::vector<KeyValueFaultRow> linkFaults;
  const ProcessPause* pause = nullptr;
};

static_assert(KeyValueService<FakeKeyValue>);

} // namespace wigeonwalk
