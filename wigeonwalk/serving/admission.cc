#include "wigeonwalk/serving/admission.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

bool
CheckFreshness(Freshness aFreshness, FailureReason& aReason)
{
  if (MayServe(aFreshness)) {
    return true;
  }
  ReasonCode code = ReasonCode::Unavailable;
  if (aFreshness == Freshness::RefuseIsolated) {
    code = ReasonCode::Isolated;
  } else if (aFreshness == Freshness::RefuseStale) {
    code = ReasonCode::Stale;
  }
  Fail(aReason,
       code,
       "this daemon may not accept requests with its service documents: " +
         std::string(NameOf(aFreshness)));
  return false;
}

std::optional<AdmittedCaller>
AdmitCaller(std::shared_ptr<const AcceptedDocument> aAccepted,
            const CallerIdentity& aCaller,
            FailureReason& aReason)
{
  if (!aAccepted) {
    return Fail(aReason, ReasonCode::NotFound, "no such service", "model");
  }
  for (const OrganisationSpec& organisation :
       aAccepted->document.organisations) {
    const auto& digests = organisation.keyDigests;
    if (std::find(digests.begin(), digests.end(), aCaller.keyDigest) !=
        digests.end()) {
      AdmittedCaller admission;
      admission.organisation = &organisation;
      admission.accepted = std::move(aAccepted);
      return admission;
    }
  }
  return Fail(aReason,
              ReasonCode::Unauthorized,
              "the key belongs to no organisation of this service",
              "Authorization");
}

EngineRequest
MakeEngineRequest(const CompletionRequest& aRequest,
                  const AdmittedCaller& aAdmission,
                  AttemptId aAttempt)
{
  const ServiceDocument& document = aAdmission.accepted->document;
  EngineRequest request;
  request.attempt = std::move(aAttempt);
  request.model = document.model.name;
  request.version = document.model.version;
  request.cacheSalt =
    document.name.Text() + '/' + aAdmission.organisation->id.Text();
  request.prompt = aRequest.prompt;
  request.maxTokens = aRequest.maxTokens;
  request.temperature = aRequest.temperature;
  request.seed = aRequest.seed;
  request.requestClass = aAdmission.organisation->requestClass;
  return request;
}

} // namespace wigeonwalk
