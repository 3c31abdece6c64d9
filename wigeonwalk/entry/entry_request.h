// A caller's request as the entry's decisions see it, without its encoding.
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/prompt.h"
#include "wigeonwalk/fleet/runner.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

struct EntryRequest
{
  RequestId id;
  std::string host;
  // Path and query.
  std::string target;
  std::string apiKey;
  // How long the caller waits; absent where it did not say.
  std::optional<Duration> patience;
  // Absent where the request is none for a model.
  std::optional<Prompt> prompt;
  std::size_t bodyBytes = 0;
  // Stands for method, target and body.
  Hash128 content;
};

// What one attempt adds to the caller's request.
struct AttemptOrder
{
  std::string address;
  // Any other runner refuses the request.
  UpstreamId runner;
  // What is left of the caller's time.
  Duration timeLeft{ 0 };
  // Empty on a public route.
  OrganisationId organisation;
  std::uint32_t priority = 0;
  // Runners with other weights refuse the request; zero for any.
  WeightNumber version = 0;
  std::string cacheSalt;
  // One entry for each part of the prompt; empty for none at all.
  std::vector<std::optional<std::string>> fetchFrom;
  std::vector<std::optional<std::string>> saveTo;
  // The last event that the caller has, where a stream goes on.
  std::optional<std::uint64_t> resumeAfter;
};

// Head of a runner's answer. The adapter keeps the header fields to pass on.
struct AnswerFacts
{
  unsigned status = 0;
  // The runner says that it did not run the request.
  bool refusedUnrun = false;
  // The status promises that the request has not run and never will.
  bool promisesUnrun = false;
  // The runner's weights are not those that the attempt named.
  bool wrongWeights = false;
  // The answer bears the runner's signature.
  bool isSigned = false;
  bool isEventStream = false;

  bool IsSuccess() const { return this->status >= 200 && this->status < 300; }
};

} // namespace wigeonwalk
