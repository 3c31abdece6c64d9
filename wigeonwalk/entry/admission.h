// Admission control: decides whether a request may be forwarded, and finds its
// route, organisation and service.
//
//   AdmittedRequest admitted;
//   if (AdmitRequest(state, request, now, admitted, reason)) { ... }
#pragma once

#include "wigeonwalk/entry/entry_request.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/ports/request_metrics.h"

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Route, organisation and service of a request; null if not found.
struct AdmittedRequest
{
  // Owns the objects below, also after a newer configuration has replaced it.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  const ServiceConfiguration* service = nullptr;
  const OrganisationConfiguration* organisation = nullptr;
  // Regions in which the request may be processed.
  HomeRegions homes;
  // The earlier of the caller's and the route's timeout, and of the end of a
  // daemon that is stopping when the request arrives.
  TimePoint deadline;
  // Key under which crashes caused by this request are counted.
  Fingerprint fingerprint;
  RunKind kind = RunKind::Shared;
  // The parts of the prompt that other requests may share; the last part is the
  // request's own.
  std::vector<SharedPart> sharedParts;

  // Priority, 0 for the most urgent. The organisation's takes precedence over
  // the route's.
  std::uint32_t Priority() const;

  // Engine memory that the request takes at most, in tokens; zero without a
  // prompt.
  std::uint64_t memoryTokens = 0;

  MetricScope Scope() const;
};

// Checks a request against the current configuration and against the crashes
// recorded for its fingerprint, and counts it towards the retry budget. Returns
// false with the reason if it must not be forwarded; the fields found up to
// that point are filled in.
bool
AdmitRequest(EntryState& aState,
             const EntryRequest& aRequest,
             TimePoint aNow,
             AdmittedRequest& aAdmitted,
             FailureReason& aReason);

// Sends an admitted request to a service. Returns false if its route does not
// lead there.
bool
SelectService(AdmittedRequest& aAdmitted, const ServiceName& aService);

// Returns false with the reason if a part of the prompt is refused because it
// crashes runners. Evidence may arrive at any time, so this is checked before
// each attempt.
bool
AdmitParts(const EntryState& aState,
           const AdmittedRequest& aAdmitted,
           TimePoint aNow,
           FailureReason& aReason);

// RAII guard: the request counts as running at the runner while this object
// exists.
class TrackedRun
{
public:
  TrackedRun(PoisonTracker& aTracker,
             UpstreamId aRunner,
             const Fingerprint& aFingerprint,
             RunKind aKind)
    : tracker(aTracker)
    , runner(std::move(aRunner))
    , fingerprint(aFingerprint)
  {
    this->tracker.Started(this->runner, this->fingerprint, aKind);
  }
  ~TrackedRun() { this->tracker.Ended(this->runner, this->fingerprint); }
  TrackedRun(const TrackedRun&) = delete;
  TrackedRun& operator=(const TrackedRun&) = delete;

private:
  PoisonTracker& tracker;
  UpstreamId runner;
  Fingerprint fingerprint;
};

} // namespace wigeonwalk
