#include "wigeonwalk/adapters/settings/service_document_json.h"

#include "wigeonwalk/adapters/settings/internal/document_checks.h"
#include "wigeonwalk/adapters/settings/internal/json_fields.h"
#include "wigeonwalk/adapters/settings/internal/service_document_schema.h"

namespace wigeonwalk {

template<FieldsOf<RunnerSpec> S>
void
VisitFields(auto&& aField, S& aRunner)
{
  aField("id", aRunner.id);
  aField("zone", aRunner.zone);
  aField("address", aRunner.address);
  aField("accelerators", aRunner.accelerators);
  aField("checksFencingNumbers", aRunner.checksFencingNumbers);
}

template<FieldsOf<StoreSpec> S>
void
VisitFields(auto&& aField, S& aStore)
{
  aField("id", aStore.id);
  aField("zone", aStore.zone);
  aField("address", aStore.address);
  aField("memoryBytes", aStore.memoryBytes);
  aField("diskBytes", aStore.diskBytes);
  aField("memoryLinkRate", aStore.memoryLinkRate);
  aField("diskLinkRate", aStore.diskLinkRate);
}

template<FieldsOf<ModelSpec> S>
void
VisitFields(auto&& aField, S& aModel)
{
  aField("name", aModel.name);
  aField("version", aModel.version);
  aField("adapters", aModel.adapters);
  aField("cacheBytesPerToken", aModel.cacheBytesPerToken);
  aField("prefillTokensPerSecond", aModel.prefillTokensPerSecond);
}

template<FieldsOf<OrganisationLimits> S>
void
VisitFields(auto&& aField, S& aLimits)
{
  aField("concurrentRequests", aLimits.concurrentRequests);
  aField("requestsPerSecond", aLimits.requestsPerSecond);
  aField("tokensPerSecond", aLimits.tokensPerSecond);
}

template<FieldsOf<OrganisationSpec> S>
void
VisitFields(auto&& aField, S& aOrganisation)
{
  aField("id", aOrganisation.id);
  aField("keyDigests", aOrganisation.keyDigests);
  aField("weight", aOrganisation.weight);
  aField("requestClass", aOrganisation.requestClass);
  aField("limits", aOrganisation.limits);
}

template<FieldsOf<RouteSpec> S>
void
VisitFields(auto&& aField, S& aRoute)
{
  aField("method", aRoute.method);
  aField("path", aRoute.path);
  aField("idempotent", aRoute.idempotent);
  aField("keySource", aRoute.keySource);
  aField("keyName", aRoute.keyName);
}

template<FieldsOf<ServiceDocument> S>
void
VisitFields(auto&& aField, S& aDocument)
{
  aField("name", aDocument.name);
  aField("kind", aDocument.kind);
  aField("weighs", aDocument.placementGoal);
  aField("zones", aDocument.zones);
  aField("model", aDocument.model);
  aField("runners", aDocument.runners);
  aField("stores", aDocument.stores);
  aField("organisations", aDocument.organisations);
  aField("routes", aDocument.routes);
  aField("requestTimeout", aDocument.requestTimeout);
  aField("tokenTimeout", aDocument.tokenTimeout);
  aField("minimumServing", aDocument.minimumServing);
}

using namespace settings_internal;

std::optional<ServiceDocument>
ParseServiceDocument(std::string_view aText,
                     std::vector<FailureReason>& aReasons)
{
  const std::size_t before = aReasons.size();
  const auto json = ParseChecked(aText, kServiceDocumentSchema, aReasons);
  if (!json) {
    return std::nullopt;
  }
  auto document = ReadStruct<ServiceDocument>(*json);
  CheckDocument(document, aReasons);
  if (aReasons.size() != before) {
    LimitReasons(aReasons);
    return std::nullopt;
  }
  return document;
}

std::string
PrintServiceDocument(const ServiceDocument& aDocument)
{
  OrderedJson json = WriteValue(aDocument);
  if (aDocument.kind == ServiceKind::Plain) {
    json.erase("model");
  }
  return json.dump(2) + "\n";
}

} // namespace wigeonwalk
