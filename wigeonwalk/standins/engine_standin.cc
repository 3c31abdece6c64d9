#include "wigeonwalk/standins/engine_standin.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>
#include <utility>

namespace wigeonwalk {

namespace {

constexpr Duration kRestartDelay = std::chrono::seconds(1);

// Time to load a version of the weights.
constexpr Duration kLoadTime = std::chrono::seconds(1);

constexpr Duration kStoreTimeout = std::chrono::seconds(5);

// Size of an exported cache piece.
constexpr std::size_t kStandinPieceBytes = 4096;

HttpResponse
JsonAnswer(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = std::move(aBody);
  return response;
}

std::vector<HttpHeader>
StreamHeaders()
{
  return { { "Content-Type", "text/event-stream" } };
}

HttpResponse
BadRequest(const FailureReason& aReason)
{
  return JsonAnswer(
    400, "{\"error\":\"" + std::string(NameOf(aReason.code)) + "\"}");
}

// Returns the bytes of a piece, which are the same on every engine, as for a
// deterministic model.
std::string
PieceBytes(const PieceKey& aPiece)
{
  std::string bytes;
  while (bytes.size() < kStandinPieceBytes) {
    bytes += aPiece.ToHex();
  }
  return bytes;
}

std::string
PieceTarget(const PieceKey& aPiece, std::uint64_t aGeneration)
{
  return "/v1/pieces/" + aPiece.ToHex() + '/' + std::to_string(aGeneration);
}

} // namespace

EngineStandin::EngineStandin(EngineStandinSettings aSettings,
                             SystemTimer& aTimer,
                             boost::asio::any_io_executor aExecutor,
                             HttpPool& aPool)
  : settings(std::move(aSettings))
  , timer(aTimer)
  , executor(std::move(aExecutor))
  , pool(aPool)
  , incarnation(
      static_cast<std::uint64_t>(aTimer.Now().time_since_epoch().count()))
  , model(std::make_unique<EngineModel>(this->settings, this->incarnation))
{
}

Task<void>
EngineStandin::Run(FailureReason& aReason)
{
  while (true) {
    this->listener =
      HttpListener::Open(this->executor, this->settings.address, {}, aReason);
    if (!this->listener) {
      co_return;
    }
    FailureReason closed;
    while (auto connection = co_await this->listener->Accept(closed)) {
      boost::asio::co_spawn(this->executor,
                            this->ServeConnection(std::move(*connection)),
                            boost::asio::detached);
    }
    if (!this->crashed) {
      co_return;
    }
    co_await this->timer.WaitUntil(this->timer.Now() + kRestartDelay);
    this->crashed = false;
    ++this->incarnation;
    this->model =
      std::make_unique<EngineModel>(this->settings, this->incarnation);
  }
}

void
EngineStandin::Crash()
{
  this->crashed = true;
  std::clog << "engine " << this->settings.id.Text() << " crashed\n";
  this->listener->Close();
  for (HttpConnection* connection : this->connections) {
    connection->Close();
  }
}

Task<void>
EngineStandin::ServeConnection(HttpConnection aConnection)
{
  this->connections.insert(&aConnection);
  while (!this->crashed) {
    FailureReason reason;
    auto request = co_await aConnection.ReadRequest(reason);
    if (!request) {
      break;
    }
    bool open = false;
    if (request->target == "/v1/completions") {
      open = co_await this->ServeCompletion(aConnection, *request);
    } else {
      HttpResponse response = co_await this->Answer(*request);
      open = co_await aConnection.WriteResponse(std::move(response),
                                                request->keepAlive);
    }
    if (!open || !request->keepAlive) {
      break;
    }
  }
  this->connections.erase(&aConnection);
}

Task<bool>
EngineStandin::ServeCompletion(HttpConnection& aConnection,
                               const HttpRequest& aRequest)
{
  FailureReason reason;
  const auto decoded = DecodeCompletion(aRequest.body, reason);
  if (!decoded) {
    co_return co_await aConnection.WriteResponse(BadRequest(reason), true);
  }
  if (this->fault == EngineFault::Refuse) {
    HttpResponse refused = JsonAnswer(503, R"({"error":"refused"})");
    refused.headers.push_back({ std::string(kNotRunHeader), "true" });
    co_return co_await aConnection.WriteResponse(std::move(refused), true);
  }
  if (decoded->prompt.find(kPoisonMarker) != std::string::npos) {
    this->Crash();
    co_return false;
  }
  const PrefillPlan plan = this->model->Admit(*decoded, this->timer.Now());
  if (!co_await aConnection.BeginStream(200, StreamHeaders())) {
    co_return false;
  }
  this->model->BeginStream();
  const std::uint64_t startedIn = this->incarnation;
  const bool open = co_await this->WriteTokens(aConnection, *decoded, plan);
  if (startedIn == this->incarnation) {
    this->model->EndStream();
  }
  co_return open;
}

Task<bool>
EngineStandin::WriteTokens(HttpConnection& aConnection,
                           const EngineRequest& aRequest,
                           const PrefillPlan& aPlan)
{
  const std::uint64_t faultsAtStart = this->silentStreamsFaults;
  co_await this->timer.WaitUntil(aPlan.readyAt);
  for (std::uint32_t i = aRequest.resumeAt; i < aRequest.maxTokens; ++i) {
    if (this->crashed || this->cancelled.erase(aRequest.attempt) > 0) {
      co_return false;
    }
    if (this->silentStreamsFaults != faultsAtStart) {
      co_await aConnection.WaitClosed();
      co_return false;
    }
    AnswerChunk chunk;
    chunk.attempt = aRequest.attempt;
    chunk.index = i;
    chunk.text = EngineModel::TokenText(aRequest, i);
    if (i + 1 == aRequest.maxTokens) {
      chunk.finishReason = "length";
      chunk.promptTokens = aPlan.promptTokens;
      chunk.cachedTokens = aPlan.cachedTokens;
    }
    if (!co_await aConnection.WriteChunk("data: " + EncodeChunk(chunk) +
                                         "\n\n")) {
      co_return false;
    }
    co_await this->timer.WaitUntil(this->timer.Now() +
                                   this->settings.tokenInterval);
  }
  co_return co_await aConnection.WriteChunk("data: [DONE]\n\n") &&
    co_await aConnection.EndStream();
}

Task<HttpResponse>
EngineStandin::Answer(const HttpRequest& aRequest)
{
  constexpr std::string_view kEventsPath = "/v1/cache/events?since=";
  const TimePoint now = this->timer.Now();
  if (aRequest.target == "/v1/load") {
    co_return JsonAnswer(200, EncodeLoad(this->model->Load(now)));
  }
  if (aRequest.target.rfind(kEventsPath, 0) == 0) {
    const std::uint64_t since =
      std::strtoull(aRequest.target.c_str() + kEventsPath.size(), nullptr, 10);
    co_return JsonAnswer(
      200, EncodeCacheEvents(this->model->EventsSince(since, now)));
  }
  if (aRequest.target == "/v1/state") {
    co_return JsonAnswer(200, EncodeState(this->model->State()));
  }
  if (aRequest.target == "/v1/orders") {
    co_return co_await this->ApplyOrder(aRequest);
  }
  if (aRequest.target == "/v1/cache/export") {
    co_return co_await this->MovePiece(aRequest, true);
  }
  if (aRequest.target == "/v1/cache/import") {
    co_return co_await this->MovePiece(aRequest, false);
  }
  if (aRequest.target == "/v1/cancel") {
    if (const auto attempt = ParseAttemptId(aRequest.body)) {
      this->cancelled.insert(*attempt);
    }
    co_return JsonAnswer(200, "{}");
  }
  if (aRequest.target == "/standin/fault") {
    const auto wanted = ParseName<EngineFault>(aRequest.body);
    if (!wanted) {
      co_return JsonAnswer(400, R"({"error":"unknown fault"})");
    }
    this->fault = *wanted;
    this->silentStreamsFaults += *wanted == EngineFault::SilentStreams ? 1 : 0;
    if (*wanted == EngineFault::Crash) {
      this->Crash();
    }
    co_return JsonAnswer(200, "{}");
  }
  co_return JsonAnswer(404, R"({"error":"no such path"})");
}

Task<HttpResponse>
EngineStandin::ApplyOrder(const HttpRequest& aRequest)
{
  FailureReason reason;
  const auto order = DecodeOrder(aRequest.body, reason);
  if (!order) {
    co_return BadRequest(reason);
  }
  if (order->kind == OrderKind::LoadVersion) {
    co_await this->timer.WaitUntil(this->timer.Now() + kLoadTime);
  }
  co_return JsonAnswer(
    200, EncodeOrderAnswer(this->model->Apply(*order, this->timer.Now())));
}

Task<HttpResponse>
EngineStandin::MovePiece(const HttpRequest& aRequest, bool aExport)
{
  FailureReason reason;
  HttpRequest transfer;
  const TimePoint deadline = this->timer.Now() + kStoreTimeout;
  if (aExport) {
    const auto ticket = DecodeWriteReservation(aRequest.body, reason);
    if (!ticket || !this->model->Holds(ticket->piece)) {
      co_return JsonAnswer(404, R"({"error":"piece not in memory"})");
    }
    transfer.method = "PUT";
    transfer.target = PieceTarget(ticket->piece, ticket->generation);
    transfer.body = PieceBytes(ticket->piece);
    const auto stored = co_await this->pool.Exchange(
      ticket->address, transfer, Reuse::Allowed, deadline, reason);
    if (!stored || stored->status != 200) {
      co_return JsonAnswer(502, R"({"error":"store refused the piece"})");
    }
    const SealedPiece sealed{ ticket->store,
                              ticket->piece,
                              ticket->generation,
                              transfer.body.size(),
                              HashBytes(transfer.body, 0).low,
                              ticket->tier,
                              PieceKey(),
                              0 };
    co_return JsonAnswer(200, EncodeSealedPiece(sealed));
  }
  const auto lease = DecodeLease(aRequest.body, reason);
  if (!lease) {
    co_return BadRequest(reason);
  }
  transfer.method = "GET";
  transfer.target = PieceTarget(lease->piece.piece, lease->piece.generation);
  const auto stored = co_await this->pool.Exchange(
    lease->address, transfer, Reuse::Allowed, deadline, reason);
  const bool intact = stored && stored->status == 200 &&
                      stored->body.size() == lease->piece.bytes &&
                      HashBytes(stored->body, 0).low == lease->piece.checksum;
  if (!intact) {
    co_return JsonAnswer(409, R"({"error":"piece failed verification"})");
  }
  this->model->Insert(lease->piece.piece, this->timer.Now());
  co_return JsonAnswer(200, "{}");
}

} // namespace wigeonwalk
