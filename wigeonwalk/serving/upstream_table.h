// What this daemon knows of its upstreams: load, incarnation, weight version,
// recent failures and requests in flight.
//
//   UpstreamTable table;
//   table.ReportLoad(runner.id, report, rate, now);
//   if (table.Usable(runner.id, now)) { auto load = table.Begin(runner.id); }
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/placement/load_estimate.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/retry/leaving_marks.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace wigeonwalk {

// All upstreams of one daemon. One thread only; must outlive its loads.
class UpstreamTable
{
public:
  // Ends the in-flight count of one request.
  struct EndLoad
  {
    void operator()(std::uint32_t* aInFlight) const { --*aInFlight; }
  };
  using Load = std::unique_ptr<std::uint32_t, EndLoad>;

  // A failed upstream is avoided for this time, doubled with each further
  // failure up to the longest, so that it is tried again but not by every
  // request.
  static constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
  static constexpr Duration kLongestAvoidance = std::chrono::seconds(5);

  // Takes over a load report. Returns true where the incarnation has changed:
  // the upstream restarted and its memory is empty.
  bool ReportLoad(const UpstreamId& aUpstream,
                  const LoadReport& aReport,
                  double aPrefillTokensPerSecond);
  void ReportState(const UpstreamId& aUpstream, const EngineState& aState);

  void NoteFailure(const UpstreamId& aUpstream, TimePoint aNow);
  void NoteSuccess(const UpstreamId& aUpstream);

  // Adds prefill work that this daemon sent, in seconds.
  void NoteSent(const UpstreamId& aUpstream, double aSeconds, TimePoint aNow);

  // Counts a request as in flight until the load is destroyed.
  Load Begin(const UpstreamId& aUpstream);

  // True where new work may go there: not leaving, not avoided.
  bool Usable(const UpstreamId& aUpstream, TimePoint aNow) const;
  bool IsLeaving(const UpstreamId& aUpstream) const;

  // True where the last load report showed no work.
  bool IsIdle(const UpstreamId& aUpstream, TimePoint aNow) const;

  double WaitSeconds(const UpstreamId& aUpstream, TimePoint aNow) const;
  std::uint32_t InFlight(const UpstreamId& aUpstream) const;
  std::uint64_t Incarnation(const UpstreamId& aUpstream) const;

  // The weight version that the upstream last reported; empty before.
  WeightVersion Version(const UpstreamId& aUpstream) const;

  LeavingMarks& Marks() { return this->marks; }

private:
  struct Status
  {
    std::uint64_t incarnation = 0;
    WeightVersion version;
    std::uint32_t inFlight = 0;
    // Requests that the last report showed running or waiting there.
    std::uint32_t reported = 0;
    std::uint32_t failures = 0;
    TimePoint avoidUntil;
    LoadEstimate load;
  };

  const Status* Find(const UpstreamId& aUpstream) const;

  std::unordered_map<UpstreamId, Status> upstreams;
  LeavingMarks marks;
};

} // namespace wigeonwalk
