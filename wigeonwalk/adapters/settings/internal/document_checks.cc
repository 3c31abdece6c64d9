#include "wigeonwalk/adapters/settings/internal/document_checks.h"

#include "wigeonwalk/adapters/settings/internal/checked_json.h"
#include "wigeonwalk/adapters/settings/internal/nearest_name.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace wigeonwalk::settings_internal {

namespace {

std::string
Place(const char* aList, std::size_t aIndex, const char* aKey)
{
  return std::string("/") + aList + "/" + std::to_string(aIndex) + "/" + aKey;
}

// Adds an error if the text occurred before.
void
CheckUnique(std::set<std::string>& aSeen,
            const std::string& aText,
            std::string aPlace,
            std::vector<FailureReason>& aReasons)
{
  if (!aSeen.insert(aText).second) {
    AddReason(aReasons,
              ReasonCode::AlreadyExists,
              "'" + aText + "' occurs more than once",
              std::move(aPlace));
  }
}

void
CheckZone(const ServiceDocument& aDocument,
          const AvailabilityZone& aZone,
          std::string aPlace,
          std::vector<FailureReason>& aReasons)
{
  const auto& zones = aDocument.zones;
  if (std::find(zones.begin(), zones.end(), aZone) != zones.end()) {
    return;
  }
  std::vector<std::string> known;
  for (const auto& zone : zones) {
    known.push_back(zone.Text());
  }
  const auto nearest = NearestName(aZone.Text(), known);
  AddReason(aReasons,
            ReasonCode::NotFound,
            "availability zone '" + aZone.Text() + "' is not in /zones" +
              (nearest ? "; did you mean '" + *nearest + "'?" : ""),
            std::move(aPlace));
}

// Ids and addresses are unique across runners and stores, as both are
// upstreams.
void
CheckUpstreams(const ServiceDocument& aDocument,
               std::vector<FailureReason>& aReasons)
{
  std::set<std::string> ids;
  std::set<std::string> addresses;
  const auto check = [&](const char* aList, const auto& aSpecs) {
    for (std::size_t i = 0; i < aSpecs.size(); ++i) {
      const auto& spec = aSpecs[i];
      CheckUnique(ids, spec.id.Text(), Place(aList, i, "id"), aReasons);
      CheckUnique(
        addresses, spec.address, Place(aList, i, "address"), aReasons);
      CheckZone(aDocument, spec.zone, Place(aList, i, "zone"), aReasons);
    }
  };
  check("runners", aDocument.runners);
  check("stores", aDocument.stores);
  std::set<std::string> zones;
  for (std::size_t i = 0; i < aDocument.zones.size(); ++i) {
    CheckUnique(zones,
                aDocument.zones[i].Text(),
                "/zones/" + std::to_string(i),
                aReasons);
  }
}

// An API key shared by two organisations would let one act as the other.
void
CheckOrganisations(const ServiceDocument& aDocument,
                   std::vector<FailureReason>& aReasons)
{
  std::set<std::string> ids;
  std::set<std::string> digests;
  for (std::size_t i = 0; i < aDocument.organisations.size(); ++i) {
    const auto& organisation = aDocument.organisations[i];
    CheckUnique(
      ids, organisation.id.Text(), Place("organisations", i, "id"), aReasons);
    for (std::size_t j = 0; j < organisation.keyDigests.size(); ++j) {
      CheckUnique(digests,
                  organisation.keyDigests[j],
                  Place("organisations", i, "keyDigests") + "/" +
                    std::to_string(j),
                  aReasons);
    }
  }
}

void
CheckRoutes(const ServiceDocument& aDocument,
            std::vector<FailureReason>& aReasons)
{
  std::set<std::string> calls;
  for (std::size_t i = 0; i < aDocument.routes.size(); ++i) {
    const auto& route = aDocument.routes[i];
    CheckUnique(calls,
                route.method + " " + route.path,
                Place("routes", i, "path"),
                aReasons);
    const std::string place = Place("routes", i, "keyName");
    if (!route.idempotent && route.keyName.empty()) {
      AddReason(aReasons,
                ReasonCode::InvalidArgument,
                "a non-idempotent call needs a key: set keyName",
                place);
    }
    if (route.keySource == KeySource::BodyField && !route.keyName.empty() &&
        !route.keyName.starts_with('/')) {
      AddReason(aReasons,
                ReasonCode::InvalidArgument,
                "a body field is a JSON pointer such as \"/order/key\"",
                place);
    }
    const bool safe = route.method == "GET" || route.method == "HEAD";
    if (safe && !route.idempotent) {
      AddReason(aReasons,
                ReasonCode::InvalidArgument,
                route.method + " is idempotent by HTTP; use POST",
                Place("routes", i, "idempotent"));
    }
  }
}

void
CheckKind(const ServiceDocument& aDocument,
          std::vector<FailureReason>& aReasons)
{
  const bool hasModel = !aDocument.model.name.Empty();
  if (aDocument.kind == ServiceKind::Engine && !hasModel) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "a service of kind engine needs a model",
              "/model");
  }
  if (aDocument.kind == ServiceKind::Engine) {
    return;
  }
  if (hasModel) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "a service of kind plain has no model",
              "/model");
  }
  if (!aDocument.stores.empty()) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "a service of kind plain has no cache store",
              "/stores");
  }
  if (aDocument.routes.empty()) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "a service of kind plain needs at least one route",
              "/routes");
  }
}

} // namespace

void
CheckDocument(const ServiceDocument& aDocument,
              std::vector<FailureReason>& aReasons)
{
  CheckKind(aDocument, aReasons);
  CheckUpstreams(aDocument, aReasons);
  CheckOrganisations(aDocument, aReasons);
  CheckRoutes(aDocument, aReasons);
  if (aDocument.minimumServing > aDocument.runners.size()) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "must not exceed the number of runners, " +
                std::to_string(aDocument.runners.size()),
              "/minimumServing");
  }
  if (aDocument.tokenTimeout > aDocument.requestTimeout) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "must not exceed requestTimeout",
              "/tokenTimeout");
  }
}

} // namespace wigeonwalk::settings_internal
