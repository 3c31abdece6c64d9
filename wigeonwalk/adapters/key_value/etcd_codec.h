// JSON form of the etcd v3 gateway's messages, as published. The adapter and
// the key-value stand-in use it.
//
//   std::string body = EncodeTransaction({ "key", 7, {}, "value", 0 });
//   WriteResult result = DecodeTransactionAnswer(answer, reason);
#pragma once

#include "wigeonwalk/ports/key_value.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// A read of a key, or of all keys in [key, rangeEnd).
struct EtcdRange
{
  std::string key;
  std::string rangeEnd;
};

// What a transaction does where its comparison holds.
enum class EtcdAction
{
  Put,
  Delete,
};

template<>
struct EnumNames<EtcdAction>
{
  static constexpr std::array<EnumName<EtcdAction>, 2> kTable{ {
    { EtcdAction::Put, "request_put" },
    { EtcdAction::Delete, "request_delete_range" },
  } };
};
static_assert(HasCompleteTable<EtcdAction>());

// A transaction on one key: compares its revision where one is expected, then
// acts, and returns the present entry where the comparison fails.
struct EtcdTransaction
{
  std::string key;
  std::optional<std::int64_t> expectedRevision;
  EtcdAction action = EtcdAction::Put;
  std::string value;
  LeaseId lease = 0;
};

// A watch of all keys in [key, rangeEnd) from a revision on.
struct EtcdWatch
{
  EtcdRange range;
  std::int64_t startRevision = 0;
};

// Returns the first key after all keys with the prefix.
std::string
PrefixEnd(std::string aPrefix);

std::string
EncodeRange(const EtcdRange& aRange);
std::optional<EtcdRange>
DecodeRange(std::string_view aBody, FailureReason& aReason);

std::string
EncodeRangeAnswer(const std::vector<KeyValueEntry>& aEntries,
                  std::int64_t aRevision);
std::optional<std::vector<KeyValueEntry>>
DecodeRangeAnswer(std::string_view aBody,
                  std::int64_t& aRevision,
                  FailureReason& aReason);

std::string
EncodeTransaction(const EtcdTransaction& aTransaction);
std::optional<EtcdTransaction>
DecodeTransaction(std::string_view aBody, FailureReason& aReason);

std::string
EncodeTransactionAnswer(const WriteResult& aResult);
// An answer that cannot be read has the outcome Unknown.
WriteResult
DecodeTransactionAnswer(std::string_view aBody, FailureReason& aReason);

// Leases travel as the id and the remaining seconds.
struct EtcdLease
{
  LeaseId id = 0;
  std::int64_t seconds = 0;
};

std::string
EncodeLeaseRequest(const EtcdLease& aLease);
std::string
EncodeLeaseAnswer(const EtcdLease& aLease);
std::optional<EtcdLease>
DecodeLeaseMessage(std::string_view aBody, FailureReason& aReason);

std::string
EncodeWatch(const EtcdWatch& aWatch);
std::optional<EtcdWatch>
DecodeWatch(std::string_view aBody, FailureReason& aReason);

// One line of a watch's stream; the first one has no events.
std::string
EncodeWatchLine(const WatchBatch& aBatch);
std::optional<WatchBatch>
DecodeWatchLine(std::string_view aLine, FailureReason& aReason);

} // namespace wigeonwalk
