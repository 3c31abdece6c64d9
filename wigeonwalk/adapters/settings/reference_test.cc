#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/internal/checked_json.h"
#include "wigeonwalk/adapters/settings/internal/daemon_settings_schema.h"
#include "wigeonwalk/adapters/settings/internal/service_document_schema.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"
#include "wigeonwalk/adapters/settings/settings_reference.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace wigeonwalk::settings_internal;

namespace {

// Adds the dotted path of every key of a schema object to the list.
void
CollectKeys(const Json& aSchema,
            const std::string& aPrefix,
            std::vector<std::string>& aKeys)
{
  for (const auto& [key, node] : aSchema["properties"].items()) {
    aKeys.push_back(aPrefix + key);
    const Json& inner = node.contains("items") ? node["items"] : node;
    if (inner.contains("properties")) {
      CollectKeys(
        inner, aPrefix + key + (&inner == &node ? "." : "[]."), aKeys);
    }
  }
}

// Returns the defaults of a schema as a document that states them explicitly.
Json
Defaults(const Json& aSchema)
{
  Json defaults = Json::object();
  for (const auto& [key, node] : aSchema["properties"].items()) {
    if (node.contains("default")) {
      defaults[key] = node["default"];
    } else if (node.contains("properties")) {
      defaults[key] = Defaults(node);
    }
  }
  return defaults;
}

} // namespace

// Guards against a reference page that lacks a key or states an outdated range.
TEST_CASE("docs/settings.md matches the schemas", "[settings]")
{
  std::ifstream file(WIGEONWALK_SOURCE_DIR "/docs/settings.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  INFO("run: wigeonwalkctl settings reference > docs/settings.md");
  CHECK(page == PrintSettingsReference());
  std::vector<std::string> keys;
  CollectKeys(Json::parse(kDaemonSettingsSchema), "", keys);
  CollectKeys(Json::parse(kServiceDocumentSchema), "", keys);
  CHECK(keys.size() > 60);
  for (const auto& key : keys) {
    CHECK(page.find("| `" + key + "` |") != std::string::npos);
  }
}

// Guards against a reference page whose defaults differ from the daemon's.
TEST_CASE("documented defaults are those of the daemon", "[settings]")
{
  std::vector<FailureReason> reasons;
  Json stated = Defaults(Json::parse(kDaemonSettingsSchema));
  stated.update({ { "host", "a" }, { "zone", "z" } });
  const auto settings = ParseDaemonSettings(stated.dump(), reasons);
  REQUIRE(settings.has_value());
  const DaemonSettings none;
  CHECK(settings->callerLimits.headerBytes == none.callerLimits.headerBytes);
  CHECK(settings->callerLimits.bodyBytes == none.callerLimits.bodyBytes);
  CHECK(settings->callerLimits.readTimeout == none.callerLimits.readTimeout);
  CHECK(settings->callerLimits.connections == none.callerLimits.connections);
  CHECK(settings->stop.balancerDelay == none.stop.balancerDelay);
  CHECK(settings->stop.drainTimeout == none.stop.drainTimeout);
  CHECK(settings->workerThreads == none.workerThreads);
  CHECK(settings->logLevel == none.logLevel);
  CHECK(settings->timelineEvents == none.timelineEvents);

  const Json minimal = Json::parse(R"({ "name": "s", "kind": "plain",
    "zones": [ "z" ],
    "runners": [ { "id": "r", "zone": "z", "address": "127.0.0.1:1" } ],
    "organisations": [ { "id": "o", "keyDigests": [ "" ] } ],
    "routes": [ { "method": "GET", "path": "/" } ] })");
  const Json schema = Json::parse(kServiceDocumentSchema);
  Json plain = minimal;
  plain["organisations"][0]["keyDigests"][0] = std::string(64, '0');
  Json explicitJson = plain;
  explicitJson.update(Defaults(schema));
  explicitJson.erase("model");
  for (const char* list : { "runners", "organisations", "routes" }) {
    explicitJson[list][0].update(Defaults(schema["properties"][list]["items"]));
  }
  const auto withoutDefaults = ParseServiceDocument(plain.dump(), reasons);
  const auto withDefaults = ParseServiceDocument(explicitJson.dump(), reasons);
  REQUIRE(withoutDefaults.has_value());
  CHECK(withoutDefaults == withDefaults);
}
