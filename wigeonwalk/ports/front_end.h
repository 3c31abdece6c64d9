// Ports between a front end, which implements a protocol for callers, and the
// request path, which makes the decisions. Every front end uses the same
// request path.
//
//   CompletionRequest request = ...;   // parsed by the front end
//   co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/ports/model_engine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace wigeonwalk {

// Identity of the caller of one request. Holds only a digest of the API key;
// the key itself does not leave the front end.
struct CallerIdentity
{
  RequestId request;
  // SHA-256 digest of the API key, in hexadecimal.
  std::string keyDigest;
  ServiceName service;
};

// A request for generated tokens.
struct CompletionRequest
{
  CallerIdentity caller;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  double temperature = 1.0;
  std::optional<std::int64_t> seed;
  // How long the caller is willing to wait, if it gave a limit.
  std::optional<Duration> timeout;
};

// Lookups in a request, from which a service document's route may take the
// idempotency key.
struct KeySources
{
  // Returns the value of a header field, or nullopt.
  std::function<std::optional<std::string>(const std::string& aName)> header;
  // Returns the string at a JSON pointer into the body, or nullopt.
  std::function<std::optional<std::string>(const std::string& aPointer)> body;
};

// A call to a plain service (an upstream that is not a model engine).
struct PlainCall
{
  CallerIdentity caller;
  std::string method;
  // Path relative to the service, such as "/reservations".
  std::string path;
  std::string contentType;
  std::string body;
  KeySources keys;
  // When the caller created the idempotency key, if it said so.
  std::optional<TimePoint> keyCreatedAt;
  std::optional<Duration> timeout;
};

// Why a request got no complete response, and whether it may have run.
struct Refusal
{
  Verdict verdict = Verdict::NotRun;
  FailureReason reason;
  // Delay after which the caller should retry; zero for no advice.
  Duration retryAfter{ 0 };
};

// Token counts and outcome of a finished answer.
struct AnswerSummary
{
  std::string finishReason;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
  UpstreamId upstream;
};

// Receives an answer from the request path. Each call returns false if the
// caller has disconnected. Fail may be called before the first token or after
// any token.
template<typename T>
concept AnswerSink = requires(T& aSink,
                              const AnswerChunk& aChunk,
                              const AnswerSummary& aSummary,
                              const Refusal& aRefusal)
{
  {
    aSink.Token(aChunk)
    } -> std::same_as<Task<bool>>;
  {
    aSink.Finish(aSummary)
    } -> std::same_as<Task<bool>>;
  {
    aSink.Fail(aRefusal)
    } -> std::same_as<Task<bool>>;
};

} // namespace wigeonwalk
