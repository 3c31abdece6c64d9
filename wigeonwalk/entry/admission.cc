#include "wigeonwalk/entry/admission.h"

#include <algorithm>
#include <string>

namespace wigeonwalk {

namespace {

// Upper limit for a caller that gives no timeout; the route's timeout also
// applies.
constexpr Duration kDefaultCallerTimeout = std::chrono::minutes(10);

bool
FindRoute(const EntryRequest& aRequest,
          AdmittedRequest& aAdmitted,
          FailureReason& aReason)
{
  const RouteTable& routes = *aAdmitted.routes;
  aAdmitted.route = routes.FindRoute(aRequest.host, aRequest.target);
  if (aAdmitted.route == nullptr) {
    Fail(aReason, ReasonCode::NotFound, "no route matches", "host, path");
    return false;
  }
  if (routes.RequiresApiKeys() && !aAdmitted.route->isPublic) {
    aAdmitted.organisation = routes.FindOrganisation(aRequest.apiKey);
    if (aAdmitted.organisation == nullptr) {
      Fail(aReason, ReasonCode::Unauthorized, "unknown API key");
      return false;
    }
  }
  aAdmitted.homes = HomeRegions::Both(
    aAdmitted.route->homes,
    aAdmitted.organisation ? aAdmitted.organisation->homes : HomeRegions());
  const ServiceName* service = ChooseService(*aAdmitted.route, aRequest.id);
  aAdmitted.service =
    service == nullptr ? nullptr : routes.FindService(*service);
  if (aAdmitted.service == nullptr) {
    Fail(aReason,
         ReasonCode::Unavailable,
         "the route has no configured service with a non-zero weight");
    return false;
  }
  return true;
}

std::vector<SharedPart>
SharedPartsOf(const Prompt& aPrompt)
{
  std::vector<SharedPart> shared;
  auto partsAfter = static_cast<std::uint32_t>(aPrompt.parts.size());
  for (const PromptPart& part : aPrompt.parts) {
    --partsAfter;
    if (partsAfter > 0) {
      shared.push_back({ HashOfPart(aPrompt.model, part.id), partsAfter });
    }
  }
  return shared;
}

// Refuses a prompt that no runner can hold.
bool
AdmitPrompt(const EntryRequest& aRequest,
            AdmittedRequest& aAdmitted,
            FailureReason& aReason)
{
  if (!aRequest.prompt) {
    return true;
  }
  const auto& engine = aAdmitted.service->engine;
  const std::uint64_t runnerTokens = engine ? engine->cacheTokens : 0;
  aAdmitted.sharedParts = SharedPartsOf(*aRequest.prompt);
  aAdmitted.memoryTokens = aRequest.prompt->MemoryTokens(runnerTokens);
  if (runnerTokens == 0 || aRequest.prompt->inputTokens <= runnerTokens) {
    return true;
  }
  Fail(aReason,
       ReasonCode::Overloaded,
       "the prompt of " + std::to_string(aRequest.prompt->inputTokens) +
         " tokens exceeds the memory of a runner, " +
         std::to_string(runnerTokens));
  return false;
}

// Refuses a request whose fingerprint has crashed too many runners.
bool
AdmitFingerprint(EntryState& aState,
                 const EntryRequest& aRequest,
                 TimePoint aNow,
                 AdmittedRequest& aAdmitted,
                 FailureReason& aReason)
{
  const OrganisationId organisation =
    aAdmitted.organisation ? aAdmitted.organisation->name : OrganisationId();
  aAdmitted.fingerprint =
    FingerprintOf(organisation, aRequest.contentHash.ToHex());
  switch (aState.poison.Admit(aAdmitted.fingerprint, aNow)) {
    case PoisonAdmission::Refuse:
      Fail(aReason,
           ReasonCode::Poisoned,
           "identical requests have crashed several runners");
      return false;
    case PoisonAdmission::RunAlone:
      // Runners serve many callers, so the request can't be isolated from
      // others. Its next crash still counts as evidence.
      aAdmitted.kind = RunKind::Alone;
      break;
    case PoisonAdmission::Run:
      break;
  }
  return true;
}

// Refuses a request that may outlast a stopping daemon, or limits its deadline.
bool
AdmitBeforeStop(const EntryState& aState,
                AdmittedRequest& aAdmitted,
                FailureReason& aReason)
{
  if (!aState.stop) {
    return true;
  }
  if (!aState.stop->Takes(aAdmitted.deadline, aAdmitted.route->MayRunAgain())) {
    Fail(
      aReason, ReasonCode::DaemonStopping, "daemon stops before the deadline");
    return false;
  }
  aAdmitted.deadline = std::min(aAdmitted.deadline, aState.stop->AnswerBy());
  return true;
}

} // namespace

std::uint32_t
AdmittedRequest::Priority() const
{
  const std::uint32_t routePriority = this->route->priority;
  return this->organisation
           ? this->organisation->priority.value_or(routePriority)
           : routePriority;
}

MetricScope
AdmittedRequest::Scope() const
{
  return { this->service ? this->service->name : ServiceName(),
           this->organisation ? this->organisation->name : OrganisationId() };
}

bool
AdmitRequest(EntryState& aState,
             const EntryRequest& aRequest,
             TimePoint aNow,
             AdmittedRequest& aAdmitted,
             FailureReason& aReason)
{
  aAdmitted.routes = aState.Routes();
  if (aAdmitted.routes == nullptr) {
    Fail(aReason, ReasonCode::Unavailable, "no configuration is known yet");
    return false;
  }
  if (!FindRoute(aRequest, aAdmitted, aReason)) {
    return false;
  }
  const Duration callerTimeout =
    aRequest.callerTimeout.value_or(kDefaultCallerTimeout);
  aAdmitted.deadline = aNow + std::min(callerTimeout, aAdmitted.route->timeout);
  if (!AdmitBeforeStop(aState, aAdmitted, aReason)) {
    return false;
  }
  aState.retryBudget.RecordRequest(aAdmitted.service->name, aNow);
  return AdmitPrompt(aRequest, aAdmitted, aReason) &&
         AdmitFingerprint(aState, aRequest, aNow, aAdmitted, aReason) &&
         AdmitParts(aState, aAdmitted, aNow, aReason);
}

bool
SelectService(AdmittedRequest& aAdmitted, const ServiceName& aService)
{
  const auto& services = aAdmitted.route->services;
  const bool isOfRoute = std::any_of(
    services.begin(), services.end(), [&](const WeightedService& aPart) {
      return aPart.service == aService;
    });
  const auto* service =
    isOfRoute ? aAdmitted.routes->FindService(aService) : nullptr;
  if (service == nullptr) {
    return false;
  }
  aAdmitted.service = service;
  return true;
}

bool
AdmitParts(const EntryState& aState,
           const AdmittedRequest& aAdmitted,
           TimePoint aNow,
           FailureReason& aReason)
{
  const auto refused =
    aState.partCrashes.FindRefused(aAdmitted.sharedParts, aNow);
  if (refused) {
    Fail(aReason,
         ReasonCode::Poisoned,
         "requests with part " + refused->part.ToHex() +
           " of the prompt have crashed " + std::to_string(refused->crashes) +
           " runners");
  }
  return !refused;
}

} // namespace wigeonwalk
