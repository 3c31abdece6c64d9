// Ports between a front end, which speaks a protocol with callers, and the
// request path, which decides. Another front end drives the same request path.
//
//   CompletionRequest request = ...;   // parsed by the front end
//   co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/last_reason.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/ports/model_engine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace wigeonwalk {

// Who calls, and under which identity. The key itself never gets this far.
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
  // The longest time that the caller waits, where it said so.
  std::optional<Duration> timeout;
};

// Where a document's routes may take an idempotency key from.
struct KeySources
{
  // Returns the value of a header field, or nothing.
  std::function<std::optional<std::string>(const std::string& aName)> header;
  // Returns the text at a JSON pointer into the body, or nothing.
  std::function<std::optional<std::string>(const std::string& aPointer)> body;
};

// A call to a plain service.
struct PlainCall
{
  CallerIdentity caller;
  std::string method;
  // Path under the service, "/reservations".
  std::string path;
  std::string contentType;
  std::string body;
  KeySources keys;
  // When the key was made, where the caller said so.
  std::optional<TimePoint> keyCreatedAt;
  std::optional<Duration> timeout;
};

// Why a request got no whole answer, and whether it may have run.
struct Refusal
{
  Verdict verdict = Verdict::NotRun;
  LastReason reason;
  // When the caller should try again; zero for no advice.
  Duration retryAfter{ 0 };
};

// What a finished answer cost.
struct AnswerSummary
{
  std::string finishReason;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t completionTokens = 0;
  UpstreamId upstream;
};

// Where the request path writes an answer. Each call returns false where the
// caller is gone. Fail may come before the first token or after any token.
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
