#include "wigeonwalk/adapters/settings/entry_settings_json.h"

#include "wigeonwalk/adapters/settings/internal/entry_settings_schema.h"
#include "wigeonwalk/adapters/settings/internal/json_fields.h"

namespace wigeonwalk {

template<FieldsOf<EntryListeners> S>
void
VisitFields(auto&& aField, S& aListen)
{
  aField("callers", aListen.callers);
  aField("readiness", aListen.readiness);
  aField("peers", aListen.peers);
  aField("metrics", aListen.metrics);
}

template<FieldsOf<CallerSettings> S>
void
VisitFields(auto&& aField, S& aCallers)
{
  aField("connections", aCallers.connections);
  aField("adminConnections", aCallers.adminConnections);
  aField("requestBytes", aCallers.requestBytes);
  aField("cachedParts", aCallers.cachedParts);
}

template<FieldsOf<EntryBounds> S>
void
VisitFields(auto&& aField, S& aBounds)
{
  aField("drain", aBounds.drain);
  aField("stopGrace", aBounds.stopGrace);
  aField("zoneOrder", aBounds.zoneOrder);
  aField("configurationPropagation", aBounds.configurationPropagation);
  aField("newWeights", aBounds.newWeights);
  aField("orderLease", aBounds.orderLease);
  aField("repeatRatio", aBounds.repeatRatio);
  aField("repeatSlack", aBounds.repeatSlack);
  aField("repeatWindow", aBounds.repeatWindow);
}

template<FieldsOf<EntrySettings> S>
void
VisitFields(auto&& aField, S& aSettings)
{
  aField("host", aSettings.host);
  aField("zone", aSettings.zone);
  aField("region", aSettings.region);
  aField("regions", aSettings.regions);
  aField("listen", aSettings.listen);
  aField("callers", aSettings.callers);
  aField("registryAddress", aSettings.registryAddress);
  aField("bounds", aSettings.bounds);
  aField("readTokensPerMs", aSettings.readTokensPerMs);
  aField("logLevel", aSettings.logLevel);
}

std::optional<ZoneRegions>
ParseRegions(std::string_view aText, std::vector<FailureReason>& aReasons)
{
  using namespace settings_internal;
  constexpr std::string_view kSchema = R"json({
    "type": "object",
    "additionalProperties": { "type": "string", "format": "label" }
  })json";
  const auto json = ParseChecked(aText, kSchema, aReasons);
  if (!json) {
    return std::nullopt;
  }
  ZoneRegions regions;
  ReadValue(*json, regions);
  return regions;
}

std::optional<EntrySettings>
ParseEntrySettings(std::string_view aText, std::vector<FailureReason>& aReasons)
{
  using namespace settings_internal;
  const auto json = ParseChecked(aText, kEntrySettingsSchema, aReasons);
  if (!json) {
    return std::nullopt;
  }
  return ReadStruct<EntrySettings>(*json);
}

} // namespace wigeonwalk
