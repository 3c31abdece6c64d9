// Decoded caller requests, attempts and response heads, independent of their
// encoding.
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/prompt.h"
#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/fleet/runner_advice.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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
  // The caller's timeout, if it gave one.
  std::optional<Duration> callerTimeout;
  // Absent if the request is not for a model.
  std::optional<Prompt> prompt;
  std::size_t bodyBytes = 0;
  // The caller has events of a stream and wants the rest of it.
  bool continuesStream = false;
  // The attempt that brought the first of these events; empty if not named.
  RequestId firstAttempt;
  // Hash of method, target and body.
  Hash128 contentHash;
};

// The parameters that one attempt adds to the caller's request.
struct AttemptSpec
{
  std::string address;
  // The intended runner; any other one refuses the request.
  UpstreamId runner;
  // Time left until the caller's deadline.
  Duration timeLeft{ 0 };
  // Empty on a public route.
  OrganisationId organisation;
  std::uint32_t priority = 0;
  // Required version of the weights; a runner with another version refuses the
  // request. Zero accepts any version.
  WeightNumber version = 0;
  std::string cacheSalt;
  // Addresses of holders, one entry for each part of the prompt; empty if no
  // part is to be fetched or saved.
  std::vector<std::optional<std::string>> fetchFrom;
  std::vector<std::optional<std::string>> saveTo;
  // Id of the last event that the caller has received, if a stream is resumed.
  std::optional<std::uint64_t> resumeAfter;
};

// Asked once the connection is open, right before a request is sent: the runner
// that was chosen may not want it any more. Nothing is sent after false.
using SendCheck = std::function<bool()>;

// Status and decoded header fields of a runner's response. The adapter keeps
// the raw header fields that are relayed to the caller.
struct AnswerHead
{
  unsigned status = 0;
  // The runner declares that it did not run the request.
  bool refusedWithoutRunning = false;
  // The status code implies that the request did not run and never will.
  bool impliesNotRun = false;
  // Version of the weights with which the runner answers, if it says so.
  std::optional<WeightNumber> weights;
  // Version of the runner's weights, if it refused the request because the
  // request requires another one.
  std::optional<WeightNumber> otherWeights;
  // The response has the runner's signature header.
  bool isSigned = false;
  bool isEventStream = false;
  RunnerAdvice advice;

  bool IsSuccess() const { return this->status >= 200 && this->status < 300; }
};

} // namespace wigeonwalk
