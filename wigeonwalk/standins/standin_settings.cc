#include "wigeonwalk/standins/standin_settings.h"

#include <nlohmann/json.hpp>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

EngineStandinSettings
ReadEngine(const Json& aJson)
{
  EngineStandinSettings engine;
  engine.id = UpstreamId(aJson.at("id").get<std::string>());
  engine.address = aJson.at("address").get<std::string>();
  engine.model = ModelName(aJson.value("model", std::string("standin")));
  engine.version = WeightVersion(aJson.value("version", std::string("1")));
  engine.prefillTokensPerSecond =
    aJson.value("prefillTokensPerSecond", engine.prefillTokensPerSecond);
  engine.tokenInterval = std::chrono::milliseconds(
    aJson.value("tokenIntervalMs", std::int64_t{ 10 }));
  engine.cacheTokens = aJson.value("cacheTokens", engine.cacheTokens);
  engine.checksFencingNumbers =
    aJson.value("checksFencingNumbers", engine.checksFencingNumbers);
  return engine;
}

StoreStandinSettings
ReadStore(const Json& aJson)
{
  StoreStandinSettings store;
  store.id = UpstreamId(aJson.at("id").get<std::string>());
  store.address = aJson.at("address").get<std::string>();
  store.space.memoryBytes = aJson.value("memoryBytes", store.space.memoryBytes);
  store.space.diskBytes = aJson.value("diskBytes", store.space.diskBytes);
  store.memoryLinkRate = aJson.value("memoryLinkRate", store.memoryLinkRate);
  store.diskLinkRate = aJson.value("diskLinkRate", store.diskLinkRate);
  return store;
}

StandinSettings
ReadSettings(const Json& aJson)
{
  StandinSettings settings;
  for (const Json& engine : aJson.value("engines", Json::array())) {
    settings.engines.push_back(ReadEngine(engine));
  }
  for (const Json& service : aJson.value("plainServices", Json::array())) {
    settings.plainServices.push_back(service.at("address").get<std::string>());
  }
  for (const Json& store : aJson.value("stores", Json::array())) {
    settings.stores.push_back(ReadStore(store));
  }
  settings.keyValue = aJson.value("keyValue", std::string());
  settings.hostList = aJson.value("hostList", std::string());
  return settings;
}

} // namespace

std::optional<StandinSettings>
ParseStandinSettings(std::string_view aText, FailureReason& aReason)
{
  try {
    return ReadSettings(Json::parse(aText));
  } catch (const Json::exception& error) {
    return Fail(aReason, ReasonCode::InvalidArgument, error.what());
  }
}

} // namespace wigeonwalk
