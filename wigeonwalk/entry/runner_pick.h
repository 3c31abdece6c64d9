// Picks the runner for the next attempt of a request.
//
//   if (auto pick = PickRunner(state, request, admitted, tried, rules, now)) {
//     ...
//   }
#pragma once

#include "wigeonwalk/entry/admission.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// A runner and the parameters of an attempt there.
struct RunnerPick
{
  std::shared_ptr<Runner> runner;
  AttemptSpec spec;
  // The cache domain of the salt in `spec`, if it has one.
  std::optional<std::string> cacheDomain;
  // How the prompt's tokens are provided; see EngineChoice.
  std::uint32_t prefillTokens = 0;
  std::uint32_t recomputedTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t fetchedTokens = 0;
  // Expected cost by which the runner was chosen, in milliseconds.
  double cost = 0;
  // For how long newer weights than the runner's are known; zero if it has the
  // newest.
  Duration replacedFor{ 0 };
};

// Which runners a request may use now.
struct PickRules
{
  // For prompts only.
  RoomRule room = RoomRule::Ignored;
  // For prompts only: part of the runners at which it is this daemon's turn,
  // from 0 to 1.
  double turns = 1;
  // The origin of the stream that the request continues; null if it begins
  // anew.
  const StreamOrigin* resumed = nullptr;
};

// Returns the cache domain of a request by the newest configuration: it may
// have waited since it was admitted by an older one. An organisation that the
// newest one lacks keeps the domain with which it was admitted.
std::string
CurrentCacheDomain(const EntryState& aState, const AdmittedRequest& aAdmitted);

// Returns the runner with the lowest expected cost among those not in `aTried`,
// or nothing if none can be used now.
std::optional<RunnerPick>
PickRunner(const EntryState& aState,
           const EntryRequest& aRequest,
           const AdmittedRequest& aAdmitted,
           const std::vector<UpstreamId>& aTried,
           const PickRules& aRules,
           TimePoint aNow);

} // namespace wigeonwalk
