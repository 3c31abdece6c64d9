#include "wigeonwalk/adapters/openai/caller_session.h"

#include <charconv>

namespace wigeonwalk {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxIdBytes = 128;

// Formats data as one server-sent event.
std::string
FormatEvent(std::string_view aData)
{
  std::string event("data: ");
  event += aData;
  event += "\n\n";
  return event;
}

// True if a text is safe to copy into logs and headers.
bool
IsPlainId(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxIdBytes) {
    return false;
  }
  for (const char c : aText) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    if (!letter && !digit && c != '-' && c != '_' && c != '.') {
      return false;
    }
  }
  return true;
}

std::optional<std::int64_t>
ReadNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number <= 0) {
    return std::nullopt;
  }
  return number;
}

// Reads the caller's identity and the request id from the headers.
std::optional<CallerIdentity>
ReadIdentity(const HttpRequest& aRequest,
             const RequestId& aDefaultId,
             FailureReason& aReason)
{
  const std::string_view authorization =
    FindHeader(aRequest.headers, "Authorization");
  if (authorization.substr(0, kBearer.size()) != kBearer) {
    return Fail(aReason,
                ReasonCode::Unauthorized,
                "expected 'Authorization: Bearer KEY'",
                "Authorization");
  }
  CallerIdentity identity;
  identity.keyDigest = DigestKey(authorization.substr(kBearer.size()));
  identity.request = aDefaultId;
  const std::string_view id = FindHeader(aRequest.headers, "X-Request-Id");
  if (!id.empty()) {
    if (!IsPlainId(id)) {
      return Fail(aReason,
                  ReasonCode::InvalidArgument,
                  "expected 1 to 128 letters, digits, '-', '_' or '.'",
                  "X-Request-Id");
    }
    identity.request = RequestId(std::string(id));
  }
  return identity;
}

// Reads the caller's timeout, if any. Returns false with the reason if the
// header is malformed.
bool
ReadTimeout(const HttpRequest& aRequest,
            std::optional<Duration>& aTimeout,
            FailureReason& aReason)
{
  const std::string_view text =
    FindHeader(aRequest.headers, "X-Request-Timeout-Ms");
  if (text.empty()) {
    return true;
  }
  const auto milliseconds = ReadNumber(text);
  if (!milliseconds || *milliseconds > 86'400'000) {
    Fail(aReason,
         ReasonCode::InvalidArgument,
         "expected milliseconds from 1 to 86400000",
         "X-Request-Timeout-Ms");
    return false;
  }
  aTimeout = std::chrono::milliseconds(*milliseconds);
  return true;
}

std::optional<CallerRequest>
DecodeCompletion(HttpRequest& aRequest,
                 CallerIdentity aIdentity,
                 CompletionForm aForm,
                 FailureReason& aReason)
{
  auto body = DecodeCompletionBody(aRequest.body, aForm, aReason);
  if (!body) {
    return std::nullopt;
  }
  CompletionRequest completion;
  completion.caller = std::move(aIdentity);
  completion.caller.service = body->service;
  completion.prompt = std::move(body->prompt);
  completion.maxTokens = body->maxTokens;
  completion.temperature = body->temperature;
  completion.seed = body->seed;
  if (!ReadTimeout(aRequest, completion.timeout, aReason)) {
    return std::nullopt;
  }
  CallerRequest request;
  request.form = aForm;
  request.stream = body->stream;
  request.completion = std::move(completion);
  return request;
}

std::optional<CallerRequest>
DecodePlainCall(HttpRequest& aRequest,
                CallerIdentity aIdentity,
                FailureReason& aReason)
{
  const std::string rest = aRequest.target.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || slash == 0) {
    return Fail(aReason,
                ReasonCode::NotFound,
                "expected /v1/services/SERVICE/PATH",
                "target");
  }
  PlainCall call;
  call.caller = std::move(aIdentity);
  call.caller.service = ServiceName(rest.substr(0, slash));
  call.method = aRequest.method;
  call.path = rest.substr(slash);
  call.contentType = std::string(FindHeader(aRequest.headers, "Content-Type"));
  call.body = std::move(aRequest.body);
  if (const auto seconds =
        ReadNumber(FindHeader(aRequest.headers, "Idempotency-Key-Time"))) {
    call.keyCreatedAt = TimePoint(std::chrono::seconds(*seconds));
  }
  call.keys.header = [headers = aRequest.headers](const std::string& aName) {
    const std::string_view value = FindHeader(headers, aName);
    return value.empty() ? std::nullopt
                         : std::optional<std::string>(std::string(value));
  };
  call.keys.body = [body = call.body](const std::string& aPointer) {
    return ReadBodyField(body, aPointer);
  };
  if (!ReadTimeout(aRequest, call.timeout, aReason)) {
    return std::nullopt;
  }
  CallerRequest request;
  request.plain = std::move(call);
  return request;
}

} // namespace

std::optional<CallerRequest>
DecodeCallerRequest(HttpRequest aRequest,
                    const RequestId& aDefaultId,
                    FailureReason& aReason)
{
  auto identity = ReadIdentity(aRequest, aDefaultId, aReason);
  if (!identity) {
    return std::nullopt;
  }
  if (aRequest.target.rfind(kServicePrefix, 0) == 0) {
    return DecodePlainCall(aRequest, std::move(*identity), aReason);
  }
  const bool text = aRequest.target == "/v1/completions";
  const bool chat = aRequest.target == "/v1/chat/completions";
  if (!text && !chat) {
    return Fail(aReason, ReasonCode::NotFound, "no such path", "target");
  }
  if (aRequest.method != "POST") {
    return Fail(
      aReason, ReasonCode::InvalidArgument, "expected POST", "method");
  }
  return DecodeCompletion(aRequest,
                          std::move(*identity),
                          chat ? CompletionForm::Chat : CompletionForm::Text,
                          aReason);
}

HttpResponse
RefusalResponse(const RequestId& aRequest, const Refusal& aRefusal)
{
  HttpResponse response;
  response.status = StatusOf(aRefusal.reason.code);
  response.headers = {
    { "Content-Type", "application/json" },
    { "X-Request-Id", aRequest.Text() },
    { std::string(kVerdictHeader), std::string(NameOf(aRefusal.verdict)) },
  };
  if (aRefusal.retryAfter > Duration(0)) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aRefusal.retryAfter);
    response.headers.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  response.body = EncodeError(aRefusal);
  return response;
}

HttpResponse
PlainServiceResponse(const RequestId& aRequest, PlainResponse aResponse)
{
  HttpResponse response;
  response.status = aResponse.status;
  response.headers = {
    { "Content-Type", std::move(aResponse.contentType) },
    { "X-Request-Id", aRequest.Text() },
    { std::string(kVerdictHeader), std::string(NameOf(Verdict::Ran)) },
  };
  response.body = std::move(aResponse.body);
  return response;
}

HttpResponse
HealthResponse(bool aHealthy)
{
  HttpResponse response;
  response.status = aHealthy ? 200 : 503;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = aHealthy ? R"({"healthy":true})" : R"({"healthy":false})";
  return response;
}

OpenAiSink::OpenAiSink(HttpConnection& aConnection,
                       RequestId aRequest,
                       ServiceName aService,
                       CompletionForm aForm,
                       bool aStream,
                       bool aKeepAlive)
  : connection(aConnection)
  , request(std::move(aRequest))
  , service(std::move(aService))
  , form(aForm)
  , stream(aStream)
  , keepAlive(aKeepAlive)
{
}

std::vector<HttpHeader>
OpenAiSink::Headers(std::string aContentType, Verdict aVerdict) const
{
  return { { "Content-Type", std::move(aContentType) },
           { "X-Request-Id", this->request.Text() },
           { std::string(kVerdictHeader), std::string(NameOf(aVerdict)) } };
}

Task<bool>
OpenAiSink::Begin()
{
  this->headersSent = true;
  std::vector<HttpHeader> headers =
    this->Headers("text/event-stream", Verdict::Ran);
  const bool written =
    co_await this->connection.BeginStream(200, std::move(headers));
  this->connectionUsable = written;
  co_return written;
}

Task<bool>
OpenAiSink::WriteEvents(std::string aEvents)
{
  const bool written = co_await this->connection.WriteChunk(std::move(aEvents));
  this->connectionUsable = written;
  co_return written;
}

Task<bool>
OpenAiSink::Token(const AnswerChunk& aChunk)
{
  if (!this->stream) {
    this->text += aChunk.text;
    co_return true;
  }
  if (!this->headersSent) {
    const bool open = co_await this->Begin();
    if (!open) {
      co_return false;
    }
  }
  std::string event = FormatEvent(
    EncodeStreamedToken(this->request, this->service, this->form, aChunk.text));
  const bool written = co_await this->WriteEvents(std::move(event));
  co_return written;
}

Task<bool>
OpenAiSink::Finish(const AnswerSummary& aSummary)
{
  if (!this->stream) {
    HttpResponse response;
    response.headers = this->Headers("application/json", Verdict::Ran);
    response.body = EncodeWholeAnswer(
      this->request, this->service, this->form, this->text, aSummary);
    this->connectionUsable = co_await this->connection.WriteResponse(
      std::move(response), this->keepAlive);
    co_return this->connectionUsable;
  }
  if (!this->headersSent) {
    const bool open = co_await this->Begin();
    if (!open) {
      co_return false;
    }
  }
  std::string events = FormatEvent(
    EncodeStreamedEnd(this->request, this->service, this->form, aSummary));
  events += FormatEvent("[DONE]");
  const bool written = co_await this->WriteEvents(std::move(events));
  if (written) {
    this->connectionUsable = co_await this->connection.EndStream();
  }
  co_return this->connectionUsable;
}

Task<bool>
OpenAiSink::Fail(const Refusal& aRefusal)
{
  if (!this->headersSent) {
    HttpResponse response = RefusalResponse(this->request, aRefusal);
    this->connectionUsable = co_await this->connection.WriteResponse(
      std::move(response), this->keepAlive);
    co_return this->connectionUsable;
  }
  // The status was already sent with the first token, so the error is sent as
  // the last event, without a [DONE] after it.
  std::string event = FormatEvent(EncodeError(aRefusal));
  const bool written = co_await this->WriteEvents(std::move(event));
  if (written) {
    co_await this->connection.EndStream();
  }
  this->connectionUsable = false;
  co_return false;
}

} // namespace wigeonwalk
