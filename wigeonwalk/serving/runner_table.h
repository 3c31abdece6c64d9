// What this daemon knows of the runners: what it has in flight on each.
//
//   auto runner = table.Choose(document, reason);
//   auto load = table.Begin(runner->id);   // ends when `load` is destroyed
#pragma once

#include "wigeonwalk/documents/service_document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace wigeonwalk {

// In-flight requests by runner. One thread only; must outlive its loads.
class RunnerTable
{
public:
  // Ends the in-flight count of one request.
  struct EndLoad
  {
    void operator()(std::uint32_t* aInFlight) const { --*aInFlight; }
  };
  using Load = std::unique_ptr<std::uint32_t, EndLoad>;

  // Returns the runner with the fewest requests of this daemon in flight.
  std::optional<RunnerSpec> Choose(const ServiceDocument& aDocument,
                                   LastReason& aReason);

  // Counts a request as in flight until the load is destroyed.
  Load Begin(const UpstreamId& aRunner);

  // Marks a failed runner so that another is chosen first. Returns false where
  // every runner has failed lately.
  bool TakeRetry(const RunnerSpec& aRunner);

private:
  struct Entry
  {
    std::uint32_t inFlight = 0;
    std::uint32_t failures = 0;
  };

  std::unordered_map<UpstreamId, Entry> entries;
};

} // namespace wigeonwalk
