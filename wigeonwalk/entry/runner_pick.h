// Which runner gets a request next, as this daemon sees the fleet.
//
//   if (auto pick = PickRunner(state, facts, admitted, tried, now)) { ... }
#pragma once

#include "wigeonwalk/entry/admission.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwalk {

// One runner with what an attempt there is to carry.
struct RunnerPick
{
  std::shared_ptr<Runner> runner;
  AttemptOrder order;
  // What becomes of the prompt's tokens; see EngineChoice.
  std::uint32_t readTokens = 0;
  std::uint32_t rereadTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t fetchedTokens = 0;
  // The estimate that decided, in milliseconds.
  double cost = 0;
};

// Returns the runner with the lowest expected cost among those that were not
// tried, or nothing where none may be used now.
std::optional<RunnerPick>
PickRunner(const EntryState& aState,
           const EntryRequest& aFacts,
           const AdmittedRequest& aAdmitted,
           const std::vector<UpstreamId>& aTried,
           TimePoint aNow);

} // namespace wigeonwalk
