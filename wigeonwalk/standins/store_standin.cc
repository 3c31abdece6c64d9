#include "wigeonwalk/standins/store_standin.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"
#include "wigeonwalk/standins/accept_loop.h"

#include <charconv>
#include <utility>

namespace wigeonwalk {

namespace {

constexpr std::string_view kPiecesPath = "/v1/pieces/";
constexpr std::size_t kHexDigits = 32;
constexpr double kSlowFactor = 10;

HttpResponse
StatusResponse(unsigned aStatus)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = "{}";
  return response;
}

HttpResponse
OkResponse(std::string aBody)
{
  HttpResponse response = StatusResponse(200);
  response.body = std::move(aBody);
  return response;
}

unsigned
StatusFor(const FailureReason& aReason)
{
  switch (aReason.code) {
    case ReasonCode::NotFound:
      return 404;
    case ReasonCode::Overloaded:
      return 507;
    case ReasonCode::MalformedResponse:
      return 400;
    default:
      return 409;
  }
}

// Returns the generation in a target of the form /v1/pieces/PIECE/GENERATION,
// or zero if it has none.
std::uint64_t
GenerationOf(const std::string& aTarget)
{
  const std::size_t start = kPiecesPath.size() + kHexDigits + 1;
  std::uint64_t generation = 0;
  if (aTarget.size() > start) {
    std::from_chars(
      aTarget.data() + start, aTarget.data() + aTarget.size(), generation);
  }
  return generation;
}

} // namespace

StoreStandin::StoreStandin(StoreStandinSettings aSettings,
                           SystemTimer& aTimer,
                           boost::asio::any_io_executor aExecutor)
  : settings(std::move(aSettings))
  , timer(aTimer)
  , executor(std::move(aExecutor))
  , incarnation(static_cast<std::uint32_t>(
      std::chrono::floor<std::chrono::seconds>(aTimer.Now())
        .time_since_epoch()
        .count()))
{
  this->Restart();
}

void
StoreStandin::Restart()
{
  this->table.emplace(
    this->settings.id, this->settings.space, this->incarnation++);
  this->bytes.clear();
  this->tickets.clear();
}

Task<void>
StoreStandin::Run(FailureReason& aReason)
{
  const auto serve = [this](HttpConnection aConnection) {
    return this->ServeConnection(std::move(aConnection));
  };
  co_await AcceptAll(this->executor, this->settings.address, serve, aReason);
}

Task<void>
StoreStandin::ServeConnection(HttpConnection aConnection)
{
  while (true) {
    FailureReason reason;
    const auto request = co_await aConnection.ReadRequest(reason);
    if (!request) {
      co_return;
    }
    HttpResponse response;
    if (request->target.rfind(kPiecesPath, 0) == 0) {
      response = co_await this->TransferBytes(*request);
    } else {
      response = this->Answer(*request);
    }
    const bool written = co_await aConnection.WriteResponse(std::move(response),
                                                            request->keepAlive);
    if (!written || !request->keepAlive) {
      co_return;
    }
  }
}

Task<HttpResponse>
StoreStandin::TransferBytes(const HttpRequest& aRequest)
{
  const std::uint64_t generation = GenerationOf(aRequest.target);
  const auto ticket = this->tickets.find(generation);
  if (ticket == this->tickets.end()) {
    co_return StatusResponse(404);
  }
  const bool inMemory = ticket->second.tier == StoreTier::Memory;
  const bool write = aRequest.method == "PUT";
  const auto stored = this->bytes.find(generation);
  if (!write && stored == this->bytes.end()) {
    co_return StatusResponse(404);
  }
  const std::size_t size = write ? aRequest.body.size() : stored->second.size();
  // The link of a tier carries one transfer at a time.
  TimePoint& freeAt = inMemory ? this->memoryFreeAt : this->diskFreeAt;
  double rate =
    inMemory ? this->settings.memoryLinkRate : this->settings.diskLinkRate;
  rate /= this->fault == StoreFault::SlowLinks ? kSlowFactor : 1;
  freeAt = std::max(freeAt, this->timer.Now()) +
           FromSeconds(static_cast<double>(size) / rate);
  co_await this->timer.WaitUntil(freeAt);

  FailureReason reason;
  if (write) {
    const auto current = this->tickets.find(generation);
    if (current == this->tickets.end() ||
        !this->table->Write(
          current->second, 0, size, this->timer.Now(), reason)) {
      co_return StatusResponse(409);
    }
    this->bytes[generation] = aRequest.body;
    co_return StatusResponse(200);
  }
  const auto found = this->bytes.find(generation);
  if (found == this->bytes.end()) {
    co_return StatusResponse(404);
  }
  HttpResponse response = OkResponse(found->second);
  if (this->fault == StoreFault::WrongBytes && !response.body.empty()) {
    response.body.front() ^= 1;
  }
  co_return response;
}

HttpResponse
StoreStandin::Answer(const HttpRequest& aRequest)
{
  const std::string& target = aRequest.target;
  if (target == "/v1/store/reserve") {
    return this->Reserve(aRequest.body);
  }
  if (target == "/v1/store/seal") {
    return this->Seal(aRequest.body);
  }
  if (target == "/v1/store/acquire") {
    return this->Acquire(aRequest.body);
  }
  if (target == "/v1/store/release") {
    return this->Release(aRequest.body);
  }
  if (target == "/v1/store/free") {
    return this->Free(aRequest.body);
  }
  if (target == "/v1/store/list") {
    return OkResponse(EncodeSealedPieces(this->table->List()));
  }
  if (target == "/standin/fault") {
    return this->SetFault(aRequest.body);
  }
  return StatusResponse(404);
}

HttpResponse
StoreStandin::Reserve(const std::string& aBody)
{
  FailureReason reason;
  const auto wanted = DecodeReservationRequest(aBody, reason);
  if (!wanted) {
    return StatusResponse(400);
  }
  if (this->fault == StoreFault::Full) {
    return StatusResponse(507);
  }
  const auto ticket = this->table->Reserve(
    wanted->piece, wanted->bytes, wanted->tier, this->timer.Now(), reason);
  if (!ticket) {
    return StatusResponse(StatusFor(reason));
  }
  this->tickets[ticket->generation] = *ticket;
  return OkResponse(EncodeWriteReservation(*ticket));
}

HttpResponse
StoreStandin::Seal(const std::string& aBody)
{
  FailureReason reason;
  const auto sealed = DecodeSealedPiece(aBody, reason);
  if (!sealed) {
    return StatusResponse(400);
  }
  const auto stored = this->bytes.find(sealed->generation);
  const std::uint64_t checksum =
    stored == this->bytes.end() ? 0 : HashBytes(stored->second, 0).low;
  const bool done =
    this->table->Seal(*sealed, checksum, this->timer.Now(), reason);
  return StatusResponse(done ? 200 : StatusFor(reason));
}

HttpResponse
StoreStandin::Acquire(const std::string& aBody)
{
  FailureReason reason;
  const auto sealed = DecodeSealedPiece(aBody, reason);
  if (!sealed) {
    return StatusResponse(400);
  }
  const auto lease = this->table->Acquire(*sealed, this->timer.Now(), reason);
  return lease ? OkResponse(EncodeLease(*lease))
               : StatusResponse(StatusFor(reason));
}

HttpResponse
StoreStandin::Release(const std::string& aBody)
{
  FailureReason reason;
  const auto lease = DecodeLease(aBody, reason);
  const bool released = lease && this->table->Release(*lease, reason);
  return StatusResponse(released ? 200 : StatusFor(reason));
}

HttpResponse
StoreStandin::Free(const std::string& aBody)
{
  FailureReason reason;
  const auto sealed = DecodeSealedPiece(aBody, reason);
  const bool freed =
    sealed && this->table->Free(
                *sealed, FreeMode::WaitForReaders, this->timer.Now(), reason);
  return StatusResponse(freed ? 200 : StatusFor(reason));
}

HttpResponse
StoreStandin::SetFault(const std::string& aBody)
{
  const auto wanted = ParseName<StoreFault>(aBody);
  if (!wanted) {
    return StatusResponse(400);
  }
  this->fault = *wanted;
  if (*wanted == StoreFault::Restart) {
    this->Restart();
  }
  return StatusResponse(200);
}

} // namespace wigeonwalk
