#include "wigeonwalk/adapters/http/http_client.h"

#include "wigeonwalk/adapters/address/endpoint.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kBodyBufferBytes = 16 * 1024;

// Largest number of bytes that are read ahead of the parser. Bounds what the
// parser needs in one piece: a chunk's size with its extensions, and trailers.
constexpr std::size_t kReadAheadBytes = 64 * 1024;

// Largest size of a response's head together with the interim responses (1xx)
// before it, in bytes.
constexpr std::size_t kMaxHeadBytes = 16 * 1024;

constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for this long, which bounds the time to detect an unresponsive
// peer.
constexpr int kTcpUserTimeoutMs = 5'000;

void
SetLivenessOptions(asio::ip::tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  using Option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  aSocket.set_option(Option(kTcpUserTimeoutMs), ignored);
}

// Returns true if the request states its length. Without a body only methods
// that usually have one do. A body is framed whatever the method says of it:
// Beast's own framing throws for TRACE.
bool
HasLength(const HttpRequest& aRequest)
{
  static constexpr std::array<std::string_view, 3> kMethodsWithBody{ "POST",
                                                                     "PUT",
                                                                     "PATCH" };
  return !aRequest.body.empty() ||
         std::find(kMethodsWithBody.begin(),
                   kMethodsWithBody.end(),
                   aRequest.method) != kMethodsWithBody.end();
}

} // namespace

struct HttpClientConnection::State
{
  State(SystemTimer& aTimer,
        asio::any_io_executor aExecutor,
        std::string aAddress)
    : timer(aTimer)
    , stream(std::move(aExecutor))
    , address(std::move(aAddress))
  {
  }

  void ExpireAt(TimePoint aDeadline)
  {
    const Duration left = aDeadline - this->timer.Now();
    this->stream.expires_after(std::max(left, Duration(1)));
  }

  // Returns true after the deadline. The stream's timer alone does not end
  // reads of bytes that are ready.
  bool IsPast(TimePoint aDeadline) const
  {
    return this->timer.Now() > aDeadline;
  }

  SystemTimer& timer;
  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kReadAheadBytes };
  std::string address;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::uint64_t requestsSent = 0;
  // The response to the last request has no body.
  bool isHeadOnly = false;
  bool failed = false;
  std::shared_ptr<MessageMemory> memory;
  // Refers to the memory and the stream.
  std::optional<MessageMemory::Share> held;
};

HttpClientConnection::HttpClientConnection(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

HttpClientConnection::HttpClientConnection(HttpClientConnection&&) noexcept =
  default;
HttpClientConnection&
HttpClientConnection::operator=(HttpClientConnection&&) noexcept = default;
HttpClientConnection::~HttpClientConnection() = default;

Task<std::optional<HttpClientConnection>>
HttpClientConnection::Connect(SystemTimer& aTimer,
                              asio::any_io_executor aExecutor,
                              const std::string& aAddress,
                              TimePoint aDeadline,
                              FailureReason& aReason)
{
  const auto endpoint = ParseEndpoint(aAddress, aReason);
  if (!endpoint) {
    co_return std::nullopt;
  }
  auto opened = std::make_unique<State>(aTimer, std::move(aExecutor), aAddress);
  opened->ExpireAt(aDeadline);
  error_code error;
  co_await opened->stream.async_connect(
    *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error == beast::error::timeout) {
    co_return Fail(
      aReason, ReasonCode::ConnectTimeout, "no answer to connect", aAddress);
  }
  if (error) {
    co_return Fail(
      aReason, ReasonCode::ConnectRefused, error.message(), aAddress);
  }
  SetLivenessOptions(opened->stream.socket());
  co_return HttpClientConnection(std::move(opened));
}

Task<bool>
HttpClientConnection::Send(const HttpRequest& aRequest,
                           TimePoint aDeadline,
                           FailureReason& aReason)
{
  // Refers to the body of the request: bodies may be large, and the request
  // outlives the call.
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  if (FindHeader(aRequest.headers, "Host").empty()) {
    message.set(http::field::host, this->state->address);
  }
  for (const HttpHeader& header : aRequest.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(aRequest.keepAlive);
  message.body() = { aRequest.body.data(), aRequest.body.size() };
  if (HasLength(aRequest)) {
    message.content_length(aRequest.body.size());
  }
  this->state->parser.reset();
  this->state->held.reset();
  ++this->state->requestsSent;
  this->state->isHeadOnly = aRequest.method == kHeadMethod;
  this->state->ExpireAt(aDeadline);
  error_code error;
  co_await http::async_write(this->state->stream,
                             message,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->state->failed = true;
    Fail(aReason,
         ReasonCode::WriteFailedPartWay,
         error.message(),
         this->state->address);
    co_return false;
  }
  co_return true;
}

namespace {

// Maps a failed read of a response to the reason that tells how far the
// exchange got.
std::nullopt_t
FailResponse(FailureReason& aReason,
             error_code aError,
             const std::string& aPlace)
{
  if (aError == beast::error::timeout) {
    return Fail(
      aReason, ReasonCode::ResponseTimeout, "no response in time", aPlace);
  }
  const auto httpErrors = beast::error_code(http::error::bad_method);
  if (aError.category() == httpErrors.category() &&
      aError != http::error::end_of_stream &&
      aError != http::error::partial_message) {
    return Fail(
      aReason, ReasonCode::MalformedResponse, aError.message(), aPlace);
  }
  return Fail(
    aReason, ReasonCode::ConnectionLostAfterWrite, aError.message(), aPlace);
}

std::nullopt_t
FailTooLarge(FailureReason& aReason, const std::string& aPlace)
{
  return Fail(aReason,
              ReasonCode::MalformedResponse,
              "largest of the responses that are being received, which "
              "together exceed " +
                std::to_string(MessageMemory::kMaxBytes) + " bytes",
              aPlace);
}

} // namespace

Task<std::optional<HttpResponse>>
HttpClientConnection::ReadHead(TimePoint aDeadline, FailureReason& aReason)
{
  this->state->ExpireAt(aDeadline);
  std::size_t headBytes = 0;
  unsigned status = 0;
  error_code error;
  while (status < kFirstFinalStatus && !error) {
    if (this->state->IsPast(aDeadline)) {
      error = beast::error::timeout;
      break;
    }
    this->state->parser.emplace();
    this->state->parser->body_limit(kMaxResponseBytes);
    this->state->parser->skip(this->state->isHeadOnly);
    headBytes += co_await http::async_read_header(
      this->state->stream,
      this->state->buffer,
      *this->state->parser,
      asio::redirect_error(asio::use_awaitable, error));
    status = this->state->parser->get().result_int();
    if (!error && headBytes > kMaxHeadBytes) {
      error = http::error::header_limit;
    }
    const bool isStatus = status >= kFirstStatus && status <= kLastStatus;
    if (!error && (!isStatus || status == kSwitchingProtocols)) {
      error = http::error::bad_status;
    }
  }
  if (error) {
    this->state->failed = true;
    co_return FailResponse(aReason, error, this->state->address);
  }
  HttpResponse response;
  response.status = status;
  for (const auto& field : this->state->parser->get()) {
    response.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  co_return response;
}

Task<std::optional<std::string>>
HttpClientConnection::ReadSome(TimePoint aDeadline, FailureReason& aReason)
{
  auto& parser = *this->state->parser;
  std::string bytes(kBodyBufferBytes, '\0');
  while (!parser.is_done()) {
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    this->state->ExpireAt(aDeadline);
    error_code error;
    if (this->state->IsPast(aDeadline)) {
      error = beast::error::timeout;
    } else {
      co_await http::async_read_some(
        this->state->stream,
        this->state->buffer,
        parser,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (error && error != http::error::need_buffer) {
      this->state->failed = true;
      if (this->state->held && this->state->held->IsEnded()) {
        co_return FailTooLarge(aReason, this->state->address);
      }
      co_return FailResponse(aReason, error, this->state->address);
    }
    const std::size_t count = bytes.size() - parser.get().body().size;
    if (count > 0) {
      bytes.resize(count);
      co_return bytes;
    }
  }
  co_return std::string();
}

Task<bool>
HttpClientConnection::WaitReadable(TimePoint aDeadline)
{
  using namespace asio::experimental::awaitable_operators;
  State& connection = *this->state;
  if (connection.buffer.size() > 0 ||
      (connection.parser && connection.parser->is_done())) {
    co_return true;
  }
  error_code error;
  const auto first =
    co_await (connection.stream.socket().async_wait(
                asio::ip::tcp::socket::wait_read,
                asio::redirect_error(asio::use_awaitable, error)) ||
              connection.timer.WaitUntil(aDeadline));
  co_return first.index() == 0;
}

Task<std::optional<HttpResponse>>
HttpClientConnection::ReadResponse(TimePoint aDeadline, FailureReason& aReason)
{
  auto response = co_await this->ReadHead(aDeadline, aReason);
  if (!response) {
    co_return std::nullopt;
  }
  while (true) {
    const auto bytes = co_await this->ReadSome(aDeadline, aReason);
    if (!bytes) {
      co_return std::nullopt;
    }
    if (bytes->empty()) {
      co_return response;
    }
    response->body += *bytes;
    if (!this->Hold(response->body.size(), aReason)) {
      co_return std::nullopt;
    }
  }
}

void
HttpClientConnection::LimitHeldBytes(std::shared_ptr<MessageMemory> aMemory)
{
  this->state->memory = std::move(aMemory);
}

void
HttpClientConnection::GiveUpIfSlow(std::function<void()> aGiveUp)
{
  State& connection = *this->state;
  if (connection.held) {
    connection.held->NoteWaiting(std::move(aGiveUp), connection.timer.Now());
  }
}

bool
HttpClientConnection::Hold(std::size_t aBytes, FailureReason& aReason)
{
  State& connection = *this->state;
  if (connection.memory == nullptr) {
    return true;
  }
  if (aBytes == 0) {
    // The next response on this connection is another message.
    connection.held.reset();
  }
  if (!connection.held) {
    if (aBytes == 0) {
      return true;
    }
    connection.held.emplace(*connection.memory, [&connection] {
      connection.failed = true;
      connection.stream.close();
    });
  }
  if (!connection.held->Resize(aBytes, connection.timer.Now())) {
    connection.failed = true;
    FailTooLarge(aReason, connection.address);
    return false;
  }
  if (connection.parser && connection.parser->is_done()) {
    connection.held->NoteComplete();
  }
  return true;
}

bool
HttpClientConnection::IsOpenAndIdle()
{
  asio::ip::tcp::socket& socket = this->state->stream.socket();
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

Duration
HttpClientConnection::KeepAliveTimeout() const
{
  if (!this->state->parser) {
    return Duration::max();
  }
  const std::string_view text =
    this->state->parser->get()[http::field::keep_alive];
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t begin = text.find(kTimeout);
  if (begin == std::string_view::npos) {
    return Duration::max();
  }
  const char* digits = text.data() + begin + kTimeout.size();
  std::int64_t seconds = 0;
  std::from_chars(digits, text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

bool
HttpClientConnection::Reusable() const
{
  const State& connection = *this->state;
  return !connection.failed && connection.parser &&
         connection.parser->is_done() && connection.parser->keep_alive() &&
         connection.buffer.size() == 0;
}

bool
HttpClientConnection::IsReused() const
{
  return this->state->requestsSent > 1;
}

bool
HttpClientConnection::EndsWithConnection() const
{
  return this->state->parser && this->state->parser->need_eof();
}

const std::string&
HttpClientConnection::Address() const
{
  return this->state->address;
}

void
HttpClientConnection::Close()
{
  this->state->failed = true;
  this->state->stream.close();
}

} // namespace wigeonwalk
