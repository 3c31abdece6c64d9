// Serves one caller's connection in one coroutine: reads requests, passes them
// to the request handler and writes the responses.
//
//   co_await ServeCaller(std::move(connection), handler, context);
#pragma once

#include "wigeonwalk/adapters/http/idle_connections.h"
#include "wigeonwalk/adapters/openai/openai_codec.h"
#include "wigeonwalk/ports/front_end.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/system/system_error.hpp>

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// What the front end needs from its daemon.
struct CallerContext
{
  // Generates an identifier for a request that has none.
  std::function<RequestId()> nextRequestId;
  // False once the load balancer should route no more callers to this daemon.
  std::function<bool()> healthy;
  // True once the daemon is stopping: each connection then closes after its
  // current request.
  std::function<bool()> stopping;
  // Number of requests being served.
  std::uint64_t* openRequests = nullptr;
  // Memory of the requests that are being received or held.
  std::shared_ptr<MessageMemory> requestMemory;
  IdleConnections idle;
  // Connections of callers that are open.
  std::size_t connections = 0;
};

// Writes one answer, either as server-sent events or as a single body.
// Satisfies AnswerSink.
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

  // True if the connection can carry another request.
  bool ConnectionUsable() const { return this->connectionUsable; }

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
  bool headersSent = false;
  bool connectionUsable = true;
  std::string text;
};

static_assert(AnswerSink<OpenAiSink>);

// A decoded request. Either completion or plain is set; form and stream apply
// to completions.
struct CallerRequest
{
  CompletionForm form = CompletionForm::Text;
  bool stream = false;
  std::optional<CompletionRequest> completion;
  std::optional<PlainCall> plain;
};

// Decodes the caller's identity, timeout and body from an HTTP request. A
// request without an identifier gets aDefaultId. Returns nothing with the
// reason if the request is not valid.
std::optional<CallerRequest>
DecodeCallerRequest(HttpRequest aRequest,
                    const RequestId& aDefaultId,
                    FailureReason& aReason);

// Return the complete response for a refusal, and for the answer of a plain
// service.
HttpResponse
RefusalResponse(const RequestId& aRequest, const Refusal& aRefusal);
HttpResponse
PlainServiceResponse(const RequestId& aRequest, PlainResponse aResponse);

// Returns the response to a health check of the load balancer: 200 or 503.
HttpResponse
HealthResponse(bool aHealthy);

// Handles the requests that the front end has decoded. CallPlain returns
// nothing with the refusal if the call failed.
template<typename T>
concept RequestHandler = requires(T& aHandler,
                                  const CompletionRequest& aCompletion,
                                  const PlainCall& aCall,
                                  OpenAiSink& aSink,
                                  Refusal& aRefusal)
{
  {
    aHandler.Complete(aCompletion, aSink)
    } -> std::same_as<Task<void>>;
  {
    aHandler.CallPlain(aCall, aRefusal)
    } -> std::same_as<Task<std::optional<PlainResponse>>>;
};

// Handles one request. An exception closes the connection: the race in
// ServeRequest would otherwise wait for the caller to leave.
template<RequestHandler Handler>
Task<void>
CompleteRequest(Handler& aHandler,
                const CompletionRequest& aCompletion,
                OpenAiSink& aSink,
                HttpConnection& aConnection)
{
  try {
    co_await aHandler.Complete(aCompletion, aSink);
  } catch (const boost::system::system_error&) {
    throw;
  } catch (const std::exception&) {
    aConnection.Close();
  }
}

// Serves one decoded request. Returns false if the connection must be closed.
template<RequestHandler Handler>
Task<bool>
ServeRequest(HttpConnection& aConnection,
             Handler& aHandler,
             CallerRequest aRequest,
             bool aKeepAlive)
{
  if (aRequest.plain) {
    Refusal refusal;
    auto response = co_await aHandler.CallPlain(*aRequest.plain, refusal);
    const RequestId id = aRequest.plain->caller.request;
    HttpResponse answer = response
                            ? PlainServiceResponse(id, std::move(*response))
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
  // If the caller closes its connection, the request is cancelled, which
  // releases its resources.
  const auto finished =
    co_await (CompleteRequest(aHandler, completion, sink, aConnection) ||
              aConnection.WaitClosed());
  co_return finished.index() == 0 && sink.ConnectionUsable() && aKeepAlive;
}

// Writes the refusal of a request that never reached the request handler.
// Returns false if the connection must be closed.
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

// Increments a counter of open requests for the lifetime of the object.
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

// Serves requests on a connection until the caller or the daemon closes it.
template<RequestHandler Handler>
Task<void>
ServeCaller(HttpConnection aConnection,
            Handler& aHandler,
            CallerContext& aContext)
{
  CountedConnection counted(aContext.connections);
  aConnection.LimitHeldBytes(aContext.requestMemory);
  bool open = true;
  while (open) {
    FailureReason reason;
    const bool arrived =
      co_await aContext.idle.Wait(aConnection, counted, reason);
    if (!arrived) {
      co_return;
    }
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
    open = co_await ServeRequest(
      aConnection, aHandler, std::move(*decoded), keepAlive);
  }
  aConnection.Close();
}

} // namespace wigeonwalk
