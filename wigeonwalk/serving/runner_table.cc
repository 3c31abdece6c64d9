#include "wigeonwalk/serving/runner_table.h"

namespace wigeonwalk {

namespace {

// Failures of a runner after which requests are not moved away from it again.
constexpr std::uint32_t kMaxFailures = 3;

} // namespace

std::optional<RunnerSpec>
RunnerTable::Choose(const ServiceDocument& aDocument, LastReason& aReason)
{
  const RunnerSpec* best = nullptr;
  std::uint32_t bestCost = 0;
  for (const RunnerSpec& runner : aDocument.runners) {
    const Entry& entry = this->entries[runner.id];
    const std::uint32_t cost = entry.inFlight + 100 * entry.failures;
    if (!best || cost < bestCost) {
      best = &runner;
      bestCost = cost;
    }
  }
  if (!best) {
    return Fail(aReason, ReasonCode::Unavailable, "the service has no runners");
  }
  return *best;
}

RunnerTable::Load
RunnerTable::Begin(const UpstreamId& aRunner)
{
  Entry& entry = this->entries[aRunner];
  ++entry.inFlight;
  return Load(&entry.inFlight);
}

bool
RunnerTable::TakeRetry(const RunnerSpec& aRunner)
{
  return ++this->entries[aRunner.id].failures <= kMaxFailures;
}

} // namespace wigeonwalk
