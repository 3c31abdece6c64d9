#include "wigeonwalk/adapters/operator_api/operator_json.h"

#include "wigeonwalk/adapters/settings/duration_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

using Json = nlohmann::ordered_json;

// Maximum length of an id in a call; the system's own ids are far shorter.
constexpr std::size_t kMaxIdBytes = 256;

// Maximum document size; the key-value service stores values of up to 1 MB.
constexpr std::size_t kMaxDocumentBytes = 1'000'000;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Reads the fields of a call's parameters and keeps the first error.
class Params
{
public:
  Params(const std::string& aText, FailureReason& aReason)
    : json(Json::parse(aText, nullptr, false))
    , reason(aReason)
  {
    if (!this->json.is_object()) {
      this->Refuse("expected a JSON object", "");
    }
  }

  std::string Text(const char* aKey, bool aRequired, std::size_t aMaxBytes)
  {
    const Json* value = this->Find(aKey, aRequired);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() > aMaxBytes) {
      this->Refuse("expected a string of at most " + std::to_string(aMaxBytes) +
                     " bytes",
                   aKey);
      return {};
    }
    return value->get<std::string>();
  }

  std::uint64_t Number(const char* aKey, bool aRequired)
  {
    const Json* value = this->Find(aKey, aRequired);
    if (value != nullptr && !value->is_number_unsigned()) {
      this->Refuse("expected a non-negative integer", aKey);
      return 0;
    }
    return value == nullptr ? 0 : value->get<std::uint64_t>();
  }

  void Refuse(std::string aDetail, const std::string& aKey)
  {
    if (!this->failed) {
      Fail(this->reason,
           ReasonCode::InvalidArgument,
           std::move(aDetail),
           "/params" + (aKey.empty() ? "" : "/" + aKey));
    }
    this->failed = true;
  }

  bool Failed() const { return this->failed; }

private:
  const Json* Find(const char* aKey, bool aRequired)
  {
    if (this->failed) {
      return nullptr;
    }
    const auto found = this->json.find(aKey);
    if (found != this->json.end()) {
      return &*found;
    }
    if (aRequired) {
      this->Refuse("is required", aKey);
    }
    return nullptr;
  }

  Json json;
  FailureReason& reason;
  bool failed = false;
};

Json
ToJson(const DocumentReport& aDocument)
{
  Json json{ { "service", aDocument.service.Text() },
             { "revision", aDocument.revision } };
  if (aDocument.confirmedAge) {
    json["confirmed"] = PrintDuration(
      std::chrono::floor<std::chrono::milliseconds>(*aDocument.confirmedAge));
  }
  return json;
}

// Returns the parsed value, or nothing if a field was rejected.
template<typename T>
std::optional<T>
Checked(const Params& aParams, T aValue)
{
  return aParams.Failed() ? std::nullopt : std::optional<T>(std::move(aValue));
}

} // namespace

std::optional<GetParams>
ParseGet(const std::string& aJson, FailureReason& aReason)
{
  Params params(aJson, aReason);
  GetParams get;
  get.service = ServiceName(params.Text("service", true, kMaxIdBytes));
  get.revision = params.Number("revision", false);
  return Checked(params, std::move(get));
}

std::optional<DocumentEdit>
ParseApply(const std::string& aJson, FailureReason& aReason)
{
  Params params(aJson, aReason);
  DocumentEdit edit;
  edit.service = ServiceName(params.Text("service", true, kMaxIdBytes));
  edit.editId = params.Text("editId", true, kMaxIdBytes);
  edit.author = params.Text("author", false, kMaxIdBytes);
  edit.baseRevision = params.Number("baseRevision", true);
  edit.text = params.Text("text", true, kMaxDocumentBytes);
  if (edit.editId.empty()) {
    params.Refuse("must not be empty", "editId");
  }
  return Checked(params, std::move(edit));
}

std::optional<ServiceName>
ParseService(const std::string& aJson, bool aRequired, FailureReason& aReason)
{
  Params params(aJson, aReason);
  return Checked(params,
                 ServiceName(params.Text("service", aRequired, kMaxIdBytes)));
}

std::optional<RequestId>
ParseRequest(const std::string& aJson, bool aRequired, FailureReason& aReason)
{
  Params params(aJson, aReason);
  return Checked(params,
                 RequestId(params.Text("request", aRequired, kMaxIdBytes)));
}

std::optional<DrainParams>
ParseDrain(const std::string& aJson, FailureReason& aReason)
{
  Params params(aJson, aReason);
  const std::string text = params.Text("timeout", false, kMaxIdBytes);
  DrainParams drain{ ParseDuration(text) };
  if (!text.empty() && !drain.timeout) {
    params.Refuse("expected a duration such as \"10m\"", "timeout");
  }
  return Checked(params, drain);
}

std::string
PrintStatus(const StatusReport& aStatus)
{
  Json json{ { "host", aStatus.host.Text() },
             { "zone", aStatus.zone.Text() },
             { "region", aStatus.region },
             { "incarnation", aStatus.incarnation },
             { "state", std::string(NameOf(aStatus.state)) },
             { "keyValue",
               aStatus.keyValueAvailable ? "available" : "unavailable" },
             { "requestsOpen", aStatus.requestsOpen },
             { "members", Json::array() },
             { "documents", Json::array() } };
  for (const auto& member : aStatus.members) {
    json["members"].push_back(
      { { "host", member.host.Text() },
        { "zone", member.zone.Text() },
        { "state", std::string(NameOf(member.state)) } });
  }
  for (const auto& document : aStatus.documents) {
    json["documents"].push_back(ToJson(document));
  }
  return Dump(json);
}

std::string
PrintDocument(const DocumentCopy& aDocument)
{
  return Dump(Json{ { "service", aDocument.service.Text() },
                    { "revision", aDocument.revision },
                    { "editId", aDocument.editId },
                    { "text", aDocument.text } });
}

std::optional<std::string>
PrintEdit(const EditResult& aResult, FailureReason& aReason)
{
  if (aResult.outcome != EditOutcome::Refused) {
    return Dump(Json{ { "outcome", std::string(NameOf(aResult.outcome)) },
                      { "revision", aResult.revision } });
  }
  aReason =
    aResult.reasons.empty()
      ? FailureReason{ ReasonCode::Conflict, "the edit was refused", {} }
      : aResult.reasons.front();
  for (std::size_t i = 1; i < aResult.reasons.size(); ++i) {
    aReason.detail += "\n" + aResult.reasons[i].ToString();
  }
  if (!aResult.difference.empty()) {
    aReason.detail += "\n" + aResult.difference;
  }
  return std::nullopt;
}

std::string
PrintHistory(const ServiceName& aService,
             const std::vector<EditRecord>& aHistory)
{
  Json entries = Json::array();
  for (auto record = aHistory.rbegin(); record != aHistory.rend(); ++record) {
    entries.push_back(
      { { "revision", record->revision },
        { "editId", record->editId },
        { "author", record->author },
        { "acceptedAt", record->acceptedAt.time_since_epoch().count() } });
  }
  return Dump(
    Json{ { "service", aService.Text() }, { "entries", std::move(entries) } });
}

std::string
PrintDocumentStatus(const StatusReport& aStatus, const ServiceName& aService)
{
  Json services = Json::array();
  for (const auto& document : aStatus.documents) {
    if (!aService.Empty() && document.service != aService) {
      continue;
    }
    Json daemon = ToJson(document);
    daemon["host"] = aStatus.host.Text();
    daemon.erase("service");
    services.push_back({ { "service", document.service.Text() },
                         { "daemons", Json::array({ std::move(daemon) }) } });
  }
  return Dump(Json{ { "services", std::move(services) } });
}

std::string
PrintEvents(const std::vector<StampedEvent>& aEvents, std::uint64_t aDropped)
{
  return "{\"events\":" + PrintTimelineJson(aEvents) +
         ",\"dropped\":" + std::to_string(aDropped) + "}";
}

std::string
PrintExplanation(const RequestId& aRequest,
                 const std::vector<std::string>& aLines)
{
  return Dump(Json{ { "request", aRequest.Text() }, { "lines", aLines } });
}

std::string
PrintDrain(std::uint64_t aRequestsOpen)
{
  return Dump(Json{ { "requestsOpen", aRequestsOpen } });
}

} // namespace wigeonwalk
