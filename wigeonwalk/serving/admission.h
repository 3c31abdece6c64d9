// PoisonAdmission: which organisation calls, and what its request becomes for
// an engine.
//
//   auto admission = AdmitCaller(documents.Find(service), caller, reason);
#pragma once

#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/front_end.h"

#include <memory>
#include <optional>

namespace wigeonwalk {

// An admitted caller. The document stays in force for the request's whole life,
// even where a newer revision arrives meanwhile.
struct AdmittedCaller
{
  std::shared_ptr<const AcceptedDocument> accepted;
  const OrganisationSpec* organisation = nullptr;
};

// Returns true where new requests are taken; else sets the reason.
bool
CheckFreshness(Freshness aFreshness, LastReason& aReason);

// Returns the organisation that the caller's key belongs to, or nothing with
// the reason NotFound (no such service) or Unauthorized.
std::optional<AdmittedCaller>
AdmitCaller(std::shared_ptr<const AcceptedDocument> aAccepted,
            const CallerIdentity& aCaller,
            LastReason& aReason);

// Returns the request as the service's engines take it.
EngineRequest
MakeEngineRequest(const CompletionRequest& aRequest,
                  const AdmittedCaller& aAdmission,
                  AttemptId aAttempt);

} // namespace wigeonwalk
