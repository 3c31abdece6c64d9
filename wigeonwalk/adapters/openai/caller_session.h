// One caller's connection: reads requests, drives the request path and writes
// the answers, top to bottom in one coroutine.
//
//   co_await ServeCaller(std::move(connection), path, context);
#pragma once

#include "wigeonwalk/adapters/http/http_server.h"
#include "wigeonwalk/adapters/openai/openai_codec.h"
#include "wigeonwalk/ports/front_end.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <functional>
#include <string>
#include <utility>

namespace wigeonwalk {

// What the front end needs to know of its daemon.
struct CallerContext
{
  // Makes an identifier for a request that came without one.
  std::function<RequestId()> nextRequestId;
  // False once the balancer should send no more callers.
  std::function<bool()> healthy;
  // True once the daemon stops: connections close after their request.
  std::function<bool()> stopping;
  // Requests that are being served.
  std::uint64_t* openRequests = nullptr;
};

// Writes one answer as server-sent events or as one body. Satisfies AnswerSink.
class OpenAiSink
{
public:
  OpenAiSink(HttpConnection& aConnection,
             RequestId aRequest,
             ServiceName aService,
             CompletionForm aForm,
             bool aStream,
             bool aKeepAlive);

  Task<bool> Token(const AnswerChunk& aChunk);
  Task<bool> Finish(const AnswerSummary& aSummary);
  Task<bool> Fail(const Refusal& aRefusal);

  // True where the connection can carry another request.
  bool ConnectionUsable() const { return this->usable; }

private:
  Task<bool> Begin();
  Task<bool> WriteEvents(std::string aEvents);
  std::vector<HttpHeader> Headers(std::string aContentType,
                                  Verdict aVerdict) const;

  HttpConnection& connection;
  RequestId request;
  ServiceName service;
  CompletionForm form;
  bool stream;
  bool keepAlive;
  bool begun = false;
  bool usable = true;
  std::string text;
};

static_assert(AnswerSink<OpenAiSink>);

// A request that the front end accepted, by kind.
struct CallerRequest
{
  CompletionForm form = CompletionForm::Text;
  bool stream = false;
  std::optional<CompletionRequest> completion;
  std::optional<PlainCall> plain;
};

// Reads identity, timeout and body of an HTTP request.
std::optional<CallerRequest>
DecodeCallerRequest(HttpRequest aRequest,
                    const RequestId& aDefaultId,
                    FailureReason& aReason);

// Whole response for a refusal, and for a plain service's answer.
HttpResponse
RefusalResponse(const RequestId& aRequest, const Refusal& aRefusal);
HttpResponse
PlainAnswer(const RequestId& aRequest, PlainResponse aResponse);

// Answers a health check of the balancer: 200 or 503.
HttpResponse
HealthResponse(bool aHealthy);

// The request path as the front end drives it.
template<typename T>
concept CallerPath = requires(T& aPath,
                              const CompletionRequest& aCompletion,
                              const PlainCall& aCall,
                              OpenAiSink& aSink,
                              Refusal& aRefusal)
{
  {
    aPath.Complete(aCompletion, aSink)
    } -> std::same_as<Task<void>>;
  {
    aPath.CallPlain(aCall, aRefusal)
    } -> std::same_as<Task<std::optional<PlainResponse>>>;
};

// Serves one decoded request. Returns false where the connection must close.
template<CallerPath Path>
Task<bool>
ServeRequest(HttpConnection& aConnection,
             Path& aPath,
             CallerRequest aRequest,
             bool aKeepAlive)
{
  if (aRequest.plain) {
    Refusal refusal;
    auto response = co_await aPath.CallPlain(*aRequest.plain, refusal);
    const RequestId id = aRequest.plain->caller.request;
    HttpResponse answer = response ? PlainAnswer(id, std::move(*response))
                                   : RefusalResponse(id, refusal);
    const bool written =
      co_await aConnection.WriteResponse(std::move(answer), aKeepAlive);
    co_return written&& aKeepAlive;
  }
  const CompletionRequest& completion = *aRequest.completion;
  OpenAiSink sink(aConnection,
                  completion.caller.request,
                  completion.caller.service,
                  aRequest.form,
                  aRequest.stream,
                  aKeepAlive);
  using namespace boost::asio::experimental::awaitable_operators;
  // A caller that closes its connection cancels the request, which frees what
  // the request held.
  const auto finished =
    co_await (aPath.Complete(completion, sink) || aConnection.WaitClosed());
  co_return finished.index() == 0 && sink.ConnectionUsable() && aKeepAlive;
}

// Writes a refusal that was decided before the request path. Returns false
// where the connection must close.
inline Task<bool>
Refuse(HttpConnection& aConnection,
       const RequestId& aRequest,
       const FailureReason& aReason,
       bool aKeepAlive)
{
  HttpResponse response =
    RefusalResponse(aRequest, { Verdict::NotRun, aReason, {} });
  const bool written =
    co_await aConnection.WriteResponse(std::move(response), aKeepAlive);
  co_return written&& aKeepAlive;
}

// Counts a request as open while it lives.
class OpenRequest
{
public:
  explicit OpenRequest(std::uint64_t& aCount)
    : count(aCount)
  {
    ++this->count;
  }
  ~OpenRequest() { --this->count; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

private:
  std::uint64_t& count;
};

// Serves a connection until the caller or the daemon closes it.
template<CallerPath Path>
Task<void>
ServeCaller(HttpConnection aConnection, Path& aPath, CallerContext& aContext)
{
  bool open = true;
  while (open) {
    FailureReason reason;
    auto request = co_await aConnection.ReadRequest(reason);
    if (!request && reason.code == ReasonCode::Cancelled) {
      co_return;
    }
    const RequestId id = aContext.nextRequestId();
    if (!request) {
      co_await Refuse(aConnection, id, reason, false);
      co_return;
    }
    const bool keepAlive = request->keepAlive && !aContext.stopping();
    if (request->target == "/health") {
      HttpResponse health = HealthResponse(aContext.healthy());
      const bool written =
        co_await aConnection.WriteResponse(std::move(health), keepAlive);
      open = written && keepAlive;
      continue;
    }
    auto decoded = DecodeCallerRequest(std::move(*request), id, reason);
    if (!decoded) {
      open = co_await Refuse(aConnection, id, reason, keepAlive);
      continue;
    }
    open =
      co_await ServeRequest(aConnection, aPath, std::move(*decoded), keepAlive);
  }
  aConnection.Close();
}

} // namespace wigeonwalk
