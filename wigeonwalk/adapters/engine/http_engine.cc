#include "wigeonwalk/adapters/engine/http_engine.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <utility>

namespace wigeonwalk {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

// Timeout of the request that cancels a stream.
constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);

// Maps an engine's error response to a reason.
std::nullopt_t
FailStatus(FailureReason& aReason,
           const HttpResponse& aResponse,
           const std::string& aAddress)
{
  const std::string detail =
    "engine answered with status " + std::to_string(aResponse.status);
  if (!FindHeader(aResponse.headers, kNotRunHeader).empty()) {
    return Fail(aReason, ReasonCode::RefusedBeforeRun, detail, aAddress);
  }
  const bool clientError = aResponse.status >= 400 && aResponse.status < 500;
  return Fail(aReason,
              clientError ? ReasonCode::StatusClientError
                          : ReasonCode::StatusServerError,
              detail,
              aAddress);
}

} // namespace

struct HttpEngine::Stream::State
{
  State(HttpPool& aPool, HttpClientConnection aConnection, AttemptId aAttempt)
    : pool(aPool)
    , connection(std::move(aConnection))
    , attempt(std::move(aAttempt))
  {
  }

  // Removes the next complete event from the buffer and returns its data, or
  // nothing if no event is complete.
  std::optional<std::string> TakeEvent()
  {
    const std::size_t end = this->buffer.find("\n\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string event = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    if (event.rfind(kDataPrefix, 0) == 0) {
      event.erase(0, kDataPrefix.size());
    }
    return event;
  }

  HttpPool& pool;
  std::optional<HttpClientConnection> connection;
  AttemptId attempt;
  std::string buffer;
  bool done = false;
};

HttpEngine::Stream::Stream(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

HttpEngine::Stream::Stream(Stream&&) noexcept = default;
HttpEngine::Stream&
HttpEngine::Stream::operator=(Stream&&) noexcept = default;
HttpEngine::Stream::~Stream() = default;

Task<std::optional<AnswerChunk>>
HttpEngine::Stream::Next(TimePoint aDeadline, FailureReason& aReason)
{
  State& stream = *this->state;
  while (true) {
    if (auto event = stream.TakeEvent()) {
      if (*event == kDone) {
        stream.done = true;
        continue;
      }
      co_return DecodeChunk(*event, aReason);
    }
    if (!stream.connection) {
      co_return std::nullopt;
    }
    const bool readable = co_await stream.connection->WaitReadable(aDeadline);
    if (!readable) {
      co_return Fail(aReason,
                     ReasonCode::ResponseTimeout,
                     "engine sent no token before the deadline",
                     stream.connection->Address());
    }
    auto bytes = co_await stream.connection->ReadSome(aDeadline, aReason);
    if (!bytes) {
      co_return std::nullopt;
    }
    if (!bytes->empty()) {
      stream.buffer += *bytes;
      if (!stream.connection->Hold(stream.buffer.size(), aReason)) {
        co_return std::nullopt;
      }
      continue;
    }
    if (!stream.done) {
      co_return Fail(aReason,
                     ReasonCode::ConnectionLostAfterWrite,
                     "stream ended before its [DONE] event",
                     stream.connection->Address());
    }
    stream.pool.Release(std::move(*stream.connection));
    stream.connection.reset();
    co_return std::nullopt;
  }
}

Task<void>
HttpEngine::Stream::Cancel()
{
  State& stream = *this->state;
  if (!stream.connection) {
    co_return;
  }
  const std::string address = stream.connection->Address();
  stream.connection->Close();
  stream.connection.reset();
  HttpRequest request{ .method = "POST", .target = "/v1/cancel" };
  request.body = stream.attempt.ToString();
  FailureReason ignored;
  co_await stream.pool.Exchange(address,
                                request,
                                Reuse::FreshOnly,
                                stream.pool.Clock().Now() + kCancelTimeout,
                                ignored);
}

HttpEngine::HttpEngine(HttpPool& aPool, std::string aAddress)
  : pool(aPool)
  , address(std::move(aAddress))
{
}

Task<std::optional<HttpEngine::Stream>>
HttpEngine::Open(const EngineRequest& aRequest,
                 TimePoint aDeadline,
                 FailureReason& aReason)
{
  auto connection = co_await this->pool.Acquire(
    this->address, Reuse::Allowed, aDeadline, aReason);
  if (!connection) {
    co_return std::nullopt;
  }
  HttpRequest request{ .method = "POST", .target = "/v1/completions" };
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = EncodeCompletion(aRequest);
  if (!co_await connection->Send(request, aDeadline, aReason)) {
    co_return std::nullopt;
  }
  const auto head = co_await connection->ReadHead(aDeadline, aReason);
  if (!head) {
    co_return std::nullopt;
  }
  if (head->status != 200) {
    co_return FailStatus(aReason, *head, this->address);
  }
  co_return Stream(std::make_unique<Stream::State>(
    this->pool, std::move(*connection), aRequest.attempt));
}

Task<std::optional<std::string>>
HttpEngine::Call(std::string aMethod,
                 std::string aTarget,
                 std::string aBody,
                 Reuse aReuse,
                 TimePoint aDeadline,
                 FailureReason& aReason)
{
  HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = std::move(aBody);
  auto response = co_await this->pool.Exchange(
    this->address, request, aReuse, aDeadline, aReason);
  if (!response) {
    co_return std::nullopt;
  }
  if (response->status != 200) {
    co_return FailStatus(aReason, *response, this->address);
  }
  co_return std::move(response->body);
}

Task<std::optional<LoadReport>>
HttpEngine::Load(TimePoint aDeadline, FailureReason& aReason)
{
  const auto body = co_await this->Call(
    "GET", "/v1/load", {}, Reuse::Allowed, aDeadline, aReason);
  co_return body ? DecodeLoad(*body, aReason) : std::nullopt;
}

Task<std::optional<LoadReport>>
HttpEngine::Probe(TimePoint aDeadline, FailureReason& aReason)
{
  const auto body = co_await this->Call(
    "GET", "/v1/load", {}, Reuse::FreshOnly, aDeadline, aReason);
  co_return body ? DecodeLoad(*body, aReason) : std::nullopt;
}

Task<std::optional<CacheEventBatch>>
HttpEngine::CacheEvents(std::uint64_t aSequence,
                        TimePoint aDeadline,
                        FailureReason& aReason)
{
  std::string target = "/v1/cache/events?since=" + std::to_string(aSequence);
  const auto body = co_await this->Call(
    "GET", std::move(target), {}, Reuse::Allowed, aDeadline, aReason);
  co_return body ? DecodeCacheEvents(*body, aReason) : std::nullopt;
}

Task<std::optional<SealedPiece>>
HttpEngine::Export(const WriteReservation& aWriteReservation,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string reservation = EncodeWriteReservation(aWriteReservation);
  const auto body = co_await this->Call("POST",
                                        "/v1/cache/export",
                                        std::move(reservation),
                                        Reuse::Allowed,
                                        aDeadline,
                                        aReason);
  co_return body ? DecodeSealedPiece(*body, aReason) : std::nullopt;
}

Task<bool>
HttpEngine::Import(const ReadLease& aLease,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string lease = EncodeLease(aLease);
  const auto body = co_await this->Call("POST",
                                        "/v1/cache/import",
                                        std::move(lease),
                                        Reuse::Allowed,
                                        aDeadline,
                                        aReason);
  co_return body.has_value();
}

Task<std::optional<OrderAnswer>>
HttpEngine::Order(const EngineOrder& aOrder,
                  TimePoint aDeadline,
                  FailureReason& aReason)
{
  // Orders use a new connection, because a pooled one could deliver an order
  // late.
  std::string order = EncodeOrder(aOrder);
  const auto body = co_await this->Call("POST",
                                        "/v1/orders",
                                        std::move(order),
                                        Reuse::FreshOnly,
                                        aDeadline,
                                        aReason);
  co_return body ? DecodeOrderAnswer(*body, aReason) : std::nullopt;
}

Task<std::optional<EngineState>>
HttpEngine::State(TimePoint aDeadline, FailureReason& aReason)
{
  const auto body = co_await this->Call(
    "GET", "/v1/state", {}, Reuse::Allowed, aDeadline, aReason);
  co_return body ? DecodeState(*body, aReason) : std::nullopt;
}

static_assert(StreamingEngine<HttpEngine>);
static_assert(ObservableEngine<HttpEngine>);
static_assert(ControllableEngine<HttpEngine>);
static_assert(CacheTransferEngine<HttpEngine>);

} // namespace wigeonwalk
