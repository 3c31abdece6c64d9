// Encodes and decodes the messages of the published etcd v3 JSON gateway API.
// Shared by the adapter and the key-value stand-in.
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

// What a transaction does if its comparison succeeds. The names are the JSON
// field names.
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

// A transaction on one key. Compares the key's modification revision if one is
// expected, and performs the action if it matches; otherwise the answer holds
// the current entry.
struct EtcdTransaction
{
  std::string key;
  std::optional<std::int64_t> expectedRevision;
  EtcdAction action = EtcdAction::Put;
  std::string value;
  LeaseId lease = 0;
};

// A watch of all keys in [key, rangeEnd), starting at a revision.
struct EtcdWatch
{
  EtcdRange range;
  std::int64_t startRevision = 0;
};

// Returns the exclusive end of the range of all keys with the prefix.
std::string
PrefixEnd(std::string aPrefix);

// Unless stated otherwise, the decoders return nothing with the reason
// MalformedResponse if the text is not JSON or a field is missing or invalid.

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
// Returns the outcome Unknown, with the reason, for a malformed answer.
WriteResult
DecodeTransactionAnswer(std::string_view aBody, FailureReason& aReason);

// A lease as encoded in messages: its id and the remaining time to live.
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

// One line of the stream of a watch. The first line, which confirms the watch,
// has no events.
std::string
EncodeWatchLine(const WatchBatch& aBatch);
std::optional<WatchBatch>
DecodeWatchLine(std::string_view aLine, FailureReason& aReason);

} // namespace wigeonwalk
