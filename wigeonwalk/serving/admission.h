// Authentication of callers, and conversion of their requests for engines.
//
//   auto admission = AdmitCaller(documents.Find(service), caller, reason);
#pragma once

#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/front_end.h"

#include <memory>
#include <optional>

namespace wigeonwalk {

// A caller whose key was accepted. Its request uses this revision of the
// service document until it ends, even if a newer one arrives meanwhile.
struct AdmittedCaller
{
  std::shared_ptr<const AcceptedDocument> accepted;
  const OrganisationSpec* organisation = nullptr;
};

// Returns true if the daemon's documents are fresh enough to accept requests.
// Otherwise sets the reason to Isolated, Stale or Unavailable.
bool
CheckFreshness(Freshness aFreshness, FailureReason& aReason);

// Returns the organisation that the caller's key belongs to. Otherwise returns
// nullopt and sets the reason to NotFound (no such service) or Unauthorized
// (unknown key).
std::optional<AdmittedCaller>
AdmitCaller(std::shared_ptr<const AcceptedDocument> aAccepted,
            const CallerIdentity& aCaller,
            FailureReason& aReason);

// Converts a caller's request into the engine request of one attempt.
EngineRequest
MakeEngineRequest(const CompletionRequest& aRequest,
                  const AdmittedCaller& aAdmission,
                  AttemptId aAttempt);

} // namespace wigeonwalk
