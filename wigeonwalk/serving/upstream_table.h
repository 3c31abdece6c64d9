// What this daemon knows about its upstreams: load, incarnation, weight
// version, recent failures and requests in flight.
//
//   UpstreamTable table;
//   table.ReportLoad(runner.id, report, prefillTokensPerSecond);
//   if (table.Usable(runner.id, now)) {
//     const auto guard = table.TrackInFlight(runner.id);
//   }
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/placement/load_estimate.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/retry/leaving_upstreams.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace wigeonwalk {

// All upstreams of one daemon. One thread only; must outlive its guards.
class UpstreamTable
{
public:
  // Decrements the number of requests in flight.
  struct DecrementInFlight
  {
    void operator()(std::uint32_t* aInFlight) const { --*aInFlight; }
  };
  using InFlightGuard = std::unique_ptr<std::uint32_t, DecrementInFlight>;

  // A failed upstream is avoided for this time, doubled with each further
  // failure up to kLongestAvoidance. It is tried again, but not by every
  // request.
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
  static constexpr Duration kLongestAvoidance = std::chrono::seconds(5);

  // Applies a load report. Returns true if the incarnation has changed, which
  // means that the upstream restarted and its cache is empty.
  bool ReportLoad(const UpstreamId& aUpstream,
                  const LoadReport& aReport,
                  double aPrefillTokensPerSecond);
  void ReportState(const UpstreamId& aUpstream, const EngineState& aState);

  void NoteFailure(const UpstreamId& aUpstream, TimePoint aNow);
  void NoteSuccess(const UpstreamId& aUpstream);

  // Adds prefill work that this daemon sent, in seconds.
  void NoteSent(const UpstreamId& aUpstream, double aSeconds, TimePoint aNow);

  // Counts a request as in flight until the returned guard is destroyed.
  InFlightGuard TrackInFlight(const UpstreamId& aUpstream);

  // Returns true if the upstream may receive new requests: it is neither
  // leaving nor avoided.
  bool Usable(const UpstreamId& aUpstream, TimePoint aNow) const;
  bool IsLeaving(const UpstreamId& aUpstream) const;

  // Returns true if the last load report showed no requests and no work is
  // estimated to wait.
  bool IsIdle(const UpstreamId& aUpstream, TimePoint aNow) const;

  double WaitSeconds(const UpstreamId& aUpstream, TimePoint aNow) const;
  std::uint32_t InFlight(const UpstreamId& aUpstream) const;
  std::uint64_t Incarnation(const UpstreamId& aUpstream) const;

  // Returns the weight version that the upstream last reported, or an empty one
  // before the first report.
  WeightVersion Version(const UpstreamId& aUpstream) const;

  LeavingUpstreams& Leaving() { return this->leaving; }

private:
  struct Status
  {
    std::uint64_t incarnation = 0;
    WeightVersion version;
    std::uint32_t inFlight = 0;
    // Requests that the last report showed as running or waiting.
    std::uint32_t reported = 0;
    std::uint32_t failures = 0;
    TimePoint avoidUntil;
    LoadEstimate load;
  };

  const Status* Find(const UpstreamId& aUpstream) const;

  std::unordered_map<UpstreamId, Status> upstreams;
  LeavingUpstreams leaving;
};

} // namespace wigeonwalk
