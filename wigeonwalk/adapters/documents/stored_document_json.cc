#include "wigeonwalk/adapters/documents/stored_document_json.h"

#include "wigeonwalk/adapters/settings/service_document_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

StoredDocument
FromJson(const Json& aJson)
{
  StoredDocument stored;
  stored.copy.service = ServiceName(aJson.at("service").get<std::string>());
  stored.copy.revision = aJson.at("revision").get<std::uint64_t>();
  stored.copy.editId = aJson.at("editId").get<std::string>();
  stored.copy.text = aJson.at("text").get<std::string>();
  for (const Json& edit : aJson.at("history")) {
    stored.history.push_back(
      { edit.at("revision").get<std::uint64_t>(),
        edit.at("editId").get<std::string>(),
        edit.at("author").get<std::string>(),
        TimePoint(Duration(edit.at("acceptedAtUs").get<std::int64_t>())) });
  }
  return stored;
}

} // namespace

std::string
StoredDocumentJson::Encode(const StoredDocument& aStored) const
{
  Json history = Json::array();
  for (const EditRecord& edit : aStored.history) {
    history.push_back(
      { { "revision", edit.revision },
        { "editId", edit.editId },
        { "author", edit.author },
        { "acceptedAtUs", edit.acceptedAt.time_since_epoch().count() } });
  }
  return Json{
    { "service", aStored.copy.service.Text() },
    { "revision", aStored.copy.revision },
    { "editId", aStored.copy.editId },
    { "text", aStored.copy.text },
    { "history", std::move(history) }
  }.dump();
}

std::optional<StoredDocument>
StoredDocumentJson::Decode(const std::string& aText,
                           FailureReason& aReason) const
{
  try {
    return FromJson(Json::parse(aText));
  } catch (const Json::exception& error) {
    return Fail(aReason, ReasonCode::Corrupt, error.what());
  }
}

std::optional<ServiceDocument>
StoredDocumentJson::Parse(const std::string& aText,
                          std::vector<FailureReason>& aReasons) const
{
  return ParseServiceDocument(aText, aReasons);
}

} // namespace wigeonwalk
