#include "wigeonwalk/entry/admission.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// For a caller that names no limit, on a route that has none.
constexpr Duration kLongestWait = std::chrono::minutes(10);

bool
FindRoute(const EntryRequest& aFacts,
          AdmittedRequest& aAdmitted,
          LastReason& aReason)
{
  const RouteTable& routes = *aAdmitted.routes;
  aAdmitted.route = routes.FindRoute(aFacts.host, aFacts.target);
  if (aAdmitted.route == nullptr) {
    Fail(aReason, ReasonCode::NotFound, "no route matches", "host, path");
    return false;
  }
  if (routes.NeedsKeys() && !aAdmitted.route->isPublic) {
    aAdmitted.organisation = routes.FindByKey(aFacts.apiKey);
    if (aAdmitted.organisation == nullptr) {
      Fail(aReason, ReasonCode::Unauthorized, "unknown API key");
      return false;
    }
  }
  const ServiceName* service = ChooseService(*aAdmitted.route, aFacts.id);
  aAdmitted.service =
    service == nullptr ? nullptr : routes.FindService(*service);
  if (aAdmitted.service == nullptr) {
    Fail(aReason, ReasonCode::Unavailable, "the route has no service");
    return false;
  }
  return true;
}

// Refuses a request that has crashed runner after runner.
bool
AdmitContent(EntryState& aState,
             const EntryRequest& aFacts,
             TimePoint aNow,
             AdmittedRequest& aAdmitted,
             LastReason& aReason)
{
  const OrganisationId organisation =
    aAdmitted.organisation ? aAdmitted.organisation->name : OrganisationId();
  aAdmitted.print = FingerprintOf(organisation, aFacts.content.ToHex());
  switch (aState.poison.Admit(aAdmitted.print, aNow)) {
    case PoisonAdmission::Refuse:
      Fail(aReason,
           ReasonCode::Poisoned,
           "requests like this one have crashed runners");
      return false;
    case PoisonAdmission::RunAlone:
      // Runners serve many callers, so it can't be kept from running beside
      // others; its next crash counts as evidence all the same.
      aAdmitted.kind = RunKind::Alone;
      break;
    case PoisonAdmission::Run:
      break;
  }
  return true;
}

} // namespace

std::uint32_t
AdmittedRequest::Rank() const
{
  const std::uint32_t ofRoute = this->route->priority;
  return this->organisation ? this->organisation->priority.value_or(ofRoute)
                            : ofRoute;
}

MeasureScope
AdmittedRequest::Scope() const
{
  return { this->service ? this->service->name : ServiceName(),
           this->organisation ? this->organisation->name : OrganisationId() };
}

bool
AdmitRequest(EntryState& aState,
             const EntryRequest& aFacts,
             TimePoint aNow,
             AdmittedRequest& aAdmitted,
             LastReason& aReason)
{
  aAdmitted.routes = aState.Routes();
  if (aAdmitted.routes == nullptr) {
    Fail(aReason, ReasonCode::Unavailable, "no configuration is known yet");
    return false;
  }
  if (!FindRoute(aFacts, aAdmitted, aReason)) {
    return false;
  }
  const Duration patience = aFacts.patience.value_or(kLongestWait);
  aAdmitted.deadline = aNow + std::min(patience, aAdmitted.route->timeout);
  aState.repeats.NoteRequest(aAdmitted.service->name, aNow);
  return AdmitContent(aState, aFacts, aNow, aAdmitted, aReason);
}

} // namespace wigeonwalk
