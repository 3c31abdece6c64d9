// Whether a request may be forwarded, and what it belongs to.
//
//   AdmittedRequest admitted;
//   if (AdmitRequest(state, facts, now, admitted, reason)) { ... }
#pragma once

#include "wigeonwalk/entry/entry_request.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/ports/measures.h"

#include <cstdint>
#include <memory>
#include <utility>

namespace wigeonwalk {

// Route, organisation and service of a request. Those that were not found are
// null.
struct AdmittedRequest
{
  // Keeps the others alive where the configuration changes.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  const ServiceConfiguration* service = nullptr;
  const OrganisationConfiguration* organisation = nullptr;
  // The end of the caller's patience or of the route's timeout.
  TimePoint deadline;
  // Under which evidence of crashes is kept.
  Fingerprint print;
  RunKind kind = RunKind::Shared;

  // 0 for the most urgent. The organisation's rank takes precedence over the
  // route's.
  std::uint32_t Rank() const;

  MeasureScope Scope() const;
};

// Judges a request by the configuration in force and by evidence against its
// like, and counts it for the budget of repeats. Returns false with the reason
// where it may not be forwarded; what was found until then is filled in.
bool
AdmitRequest(EntryState& aState,
             const EntryRequest& aFacts,
             TimePoint aNow,
             AdmittedRequest& aAdmitted,
             LastReason& aReason);

// Counts a request as running at a runner as long as it lives.
class FollowedRun
{
public:
  FollowedRun(PoisonTracker& aTracker,
              UpstreamId aRunner,
              const Fingerprint& aPrint,
              RunKind aKind)
    : tracker(aTracker)
    , runner(std::move(aRunner))
    , print(aPrint)
  {
    this->tracker.Started(this->runner, this->print, aKind);
  }
  ~FollowedRun() { this->tracker.Ended(this->runner, this->print); }
  FollowedRun(const FollowedRun&) = delete;
  FollowedRun& operator=(const FollowedRun&) = delete;

private:
  PoisonTracker& tracker;
  UpstreamId runner;
  Fingerprint print;
};

} // namespace wigeonwalk
