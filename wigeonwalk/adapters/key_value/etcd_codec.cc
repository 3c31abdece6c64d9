#include "wigeonwalk/adapters/key_value/etcd_codec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

std::string
ToBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  std::string bytes(aText.size() / 4 * 3 + 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    throw Json::other_error::create(501, "invalid base64", nullptr);
  }
  const auto padding = static_cast<std::size_t>(std::count(
    aText.end() -
      std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(aText.size())),
    aText.end(),
    '='));
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

// The gateway encodes 64-bit numbers as strings and omits fields that are zero.
std::int64_t
GetNumber(const Json& aJson, const char* aName)
{
  if (!aJson.contains(aName)) {
    return 0;
  }
  const Json& value = aJson.at(aName);
  return value.is_string() ? std::stoll(value.get<std::string>())
                           : value.get<std::int64_t>();
}

std::string
GetBytes(const Json& aJson, const char* aName)
{
  return aJson.contains(aName) ? FromBase64(aJson.at(aName).get<std::string>())
                               : std::string();
}

Json
EntryToJson(const KeyValueEntry& aEntry)
{
  return { { "key", ToBase64(aEntry.key) },
           { "value", ToBase64(aEntry.value) },
           { "create_revision", std::to_string(aEntry.createRevision) },
           { "mod_revision", std::to_string(aEntry.modRevision) },
           { "lease", std::to_string(aEntry.lease) } };
}

KeyValueEntry
EntryFromJson(const Json& aJson)
{
  return { GetBytes(aJson, "key"),
           GetBytes(aJson, "value"),
           GetNumber(aJson, "create_revision"),
           GetNumber(aJson, "mod_revision"),
           GetNumber(aJson, "lease") };
}

Json
RangeToJson(const EtcdRange& aRange)
{
  Json json{ { "key", ToBase64(aRange.key) } };
  if (!aRange.rangeEnd.empty()) {
    json["range_end"] = ToBase64(aRange.rangeEnd);
  }
  return json;
}

// Parses JSON and applies a decoder, which may throw, for example for a missing
// field or a wrong type.
template<typename Decode>
auto
DecodeJson(std::string_view aBody, FailureReason& aReason, Decode aDecode)
  -> std::optional<decltype(aDecode(Json()))>
{
  try {
    return aDecode(Json::parse(aBody));
  } catch (const std::exception& error) {
    return Fail(aReason, ReasonCode::MalformedResponse, error.what());
  }
}

std::int64_t
HeaderRevision(const Json& aJson)
{
  return GetNumber(aJson.at("header"), "revision");
}

} // namespace

std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    auto& last = reinterpret_cast<unsigned char&>(aPrefix.back());
    if (last < 0xFF) {
      ++last;
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  // No key is greater than all keys with this prefix. The API expresses an
  // unbounded range end as one zero byte.
  return std::string(1, '\0');
}

std::string
EncodeRange(const EtcdRange& aRange)
{
  return RangeToJson(aRange).dump();
}

std::optional<EtcdRange>
DecodeRange(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return EtcdRange{ FromBase64(aJson.at("key").get<std::string>()),
                      GetBytes(aJson, "range_end") };
  });
}

std::string
EncodeRangeAnswer(const std::vector<KeyValueEntry>& aEntries,
                  std::int64_t aRevision)
{
  Json entries = Json::array();
  for (const KeyValueEntry& entry : aEntries) {
    entries.push_back(EntryToJson(entry));
  }
  return Json{
    { "header", { { "revision", std::to_string(aRevision) } } },
    { "kvs", std::move(entries) },
    { "count", std::to_string(aEntries.size()) }
  }.dump();
}

std::optional<std::vector<KeyValueEntry>>
DecodeRangeAnswer(std::string_view aBody,
                  std::int64_t& aRevision,
                  FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [&aRevision](const Json& aJson) {
    aRevision = HeaderRevision(aJson);
    std::vector<KeyValueEntry> entries;
    for (const Json& entry : aJson.value("kvs", Json::array())) {
      entries.push_back(EntryFromJson(entry));
    }
    return entries;
  });
}

std::string
EncodeTransaction(const EtcdTransaction& aTransaction)
{
  Json compare = Json::array();
  if (aTransaction.expectedRevision) {
    compare.push_back(
      { { "key", ToBase64(aTransaction.key) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(*aTransaction.expectedRevision) } });
  }
  Json action{ { "key", ToBase64(aTransaction.key) } };
  if (aTransaction.action == EtcdAction::Put) {
    action["value"] = ToBase64(aTransaction.value);
    action["lease"] = std::to_string(aTransaction.lease);
  }
  Json success;
  success[std::string(NameOf(aTransaction.action))] = std::move(action);
  Json failure;
  failure["request_range"] = RangeToJson({ aTransaction.key, {} });
  return Json{
    { "compare", std::move(compare) },
    { "success", Json::array({ std::move(success) }) },
    { "failure", Json::array({ std::move(failure) }) }
  }.dump();
}

std::optional<EtcdTransaction>
DecodeTransaction(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    EtcdTransaction transaction;
    for (const Json& compare : aJson.value("compare", Json::array())) {
      transaction.expectedRevision = GetNumber(compare, "mod_revision");
    }
    const Json& success = aJson.at("success").at(0);
    for (const auto& row : EnumNames<EtcdAction>::kTable) {
      const std::string name(row.name);
      if (success.contains(name)) {
        const Json& action = success.at(name);
        transaction.action = row.value;
        transaction.key = FromBase64(action.at("key").get<std::string>());
        transaction.value = GetBytes(action, "value");
        transaction.lease = GetNumber(action, "lease");
        return transaction;
      }
    }
    throw Json::other_error::create(
      501, "unknown transaction action", &success);
  });
}

std::string
EncodeTransactionAnswer(const WriteResult& aResult)
{
  Json json{ { "header", { { "revision", std::to_string(aResult.revision) } } },
             { "succeeded", aResult.outcome == WriteOutcome::Applied } };
  Json entries = Json::array();
  if (aResult.current) {
    entries.push_back(EntryToJson(*aResult.current));
  }
  Json response;
  response["response_range"]["kvs"] = std::move(entries);
  json["responses"] = Json::array({ std::move(response) });
  return json.dump();
}

WriteResult
DecodeTransactionAnswer(std::string_view aBody, FailureReason& aReason)
{
  const auto result = DecodeJson(aBody, aReason, [](const Json& aJson) {
    WriteResult read;
    read.revision = HeaderRevision(aJson);
    const bool succeeded = aJson.value("succeeded", false);
    read.outcome = succeeded ? WriteOutcome::Applied : WriteOutcome::Conflict;
    if (!succeeded) {
      const Json& response = aJson.at("responses").at(0).at("response_range");
      for (const Json& entry : response.value("kvs", Json::array())) {
        read.current = EntryFromJson(entry);
      }
    }
    return read;
  });
  return result.value_or(WriteResult{ WriteOutcome::Unknown, 0, {} });
}

std::string
EncodeLeaseRequest(const EtcdLease& aLease)
{
  return Json{
    { "ID", std::to_string(aLease.id) },
    { "TTL", std::to_string(aLease.seconds) }
  }.dump();
}

std::string
EncodeLeaseAnswer(const EtcdLease& aLease)
{
  Json lease{ { "ID", std::to_string(aLease.id) },
              { "TTL", std::to_string(aLease.seconds) } };
  // Serves both calls: a keep-alive reads its answer from "result", because it
  // is a stream of results, and a grant reads the fields at the top level.
  lease["result"] = lease;
  return lease.dump();
}

std::optional<EtcdLease>
DecodeLeaseMessage(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    const Json& lease = aJson.contains("result") ? aJson.at("result") : aJson;
    return EtcdLease{ GetNumber(lease, "ID"), GetNumber(lease, "TTL") };
  });
}

std::string
EncodeWatch(const EtcdWatch& aWatch)
{
  Json create = RangeToJson(aWatch.range);
  create["start_revision"] = std::to_string(aWatch.startRevision);
  return Json{ { "create_request", std::move(create) } }.dump();
}

std::optional<EtcdWatch>
DecodeWatch(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    const Json& create = aJson.at("create_request");
    return EtcdWatch{ { FromBase64(create.at("key").get<std::string>()),
                        GetBytes(create, "range_end") },
                      GetNumber(create, "start_revision") };
  });
}

std::string
EncodeWatchLine(const WatchBatch& aBatch)
{
  Json events = Json::array();
  for (const WatchEvent& event : aBatch.events) {
    Json json{ { "kv", EntryToJson(event.entry) } };
    if (event.deleted) {
      json["type"] = "DELETE";
    }
    events.push_back(std::move(json));
  }
  const std::int64_t revision = std::max<std::int64_t>(aBatch.nextRevision, 1);
  Json result{ { "header", { { "revision", std::to_string(revision - 1) } } },
               { "events", std::move(events) } };
  return Json{ { "result", std::move(result) } }.dump() + '\n';
}

std::optional<WatchBatch>
DecodeWatchLine(std::string_view aLine, FailureReason& aReason)
{
  return DecodeJson(aLine, aReason, [](const Json& aJson) {
    const Json& result = aJson.at("result");
    WatchBatch batch;
    batch.nextRevision = HeaderRevision(result) + 1;
    for (const Json& event : result.value("events", Json::array())) {
      batch.events.push_back({ event.value("type", std::string()) == "DELETE",
                               EntryFromJson(event.at("kv")) });
    }
    return batch;
  });
}

} // namespace wigeonwalk
