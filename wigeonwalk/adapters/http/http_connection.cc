#include "wigeonwalk/adapters/http/http_connection.h"

#include "wigeonwalk/adapters/http/http_adopt.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Buffer of a connection that waits for its next request: most requests fit.
constexpr std::size_t kIdleReadBytes = 2 * 1024;

// Least number of bytes that a peer must take in each write timeout.
constexpr std::size_t kMinWrittenBytes = 4 * 1024;

// Bytes that the system buffers beyond those that the peer's window admits.
// With more, a peer that reads steadily would seem to take nothing for a long
// time.
constexpr int kMaxUnsentBytes = 64 * 1024;

void
LimitUnsent(asio::ip::tcp::socket& aSocket)
{
  using Option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
  error_code ignored;
  aSocket.set_option(Option(kMaxUnsentBytes), ignored);
}

} // namespace

struct HttpConnection::State
{
  State(asio::ip::tcp::socket aSocket, HttpLimits aLimits)
    : stream(std::move(aSocket))
    , limits(aLimits)
  {
    this->ReleaseBuffer();
    LimitUnsent(this->stream.socket());
  }

  // Begin and continue the time in which the peer must take kMinWrittenBytes.
  void BeginWrite()
  {
    this->writtenBytes = 0;
    this->stream.expires_after(this->limits.writeTimeout);
  }
  void NoteWritten(std::size_t aBytes)
  {
    this->writtenBytes += aBytes;
    if (this->writtenBytes >= kMinWrittenBytes) {
      this->BeginWrite();
    }
  }

  Task<bool> WriteAll(std::string aBytes);

  // Frees a buffer that has grown; it must be empty.
  void ReleaseBuffer()
  {
    this->buffer =
      beast::flat_buffer(this->limits.headerBytes + kMaxReadBufferBytes);
  }

  // Counts what is held of the present request beside the buffer. Returns false
  // if it was ended. Requests wait for no receiver, so that the time is
  // irrelevant.
  bool Hold(std::size_t aBytes)
  {
    return !this->held ||
           this->held->Resize(this->buffer.capacity() + aBytes, TimePoint());
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  HttpLimits limits;
  HttpLimit limitMet = HttpLimit::None;
  // The response to the last request has no body.
  bool isHeadOnly = false;
  // Since the write timeout began.
  std::size_t writtenBytes = 0;
  std::shared_ptr<MessageMemory> memory;
  // Refers to the memory and the stream.
  std::optional<MessageMemory::Share> held;
};

HttpConnection::HttpConnection(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection&
HttpConnection::operator=(HttpConnection&&) noexcept = default;
HttpConnection::~HttpConnection() = default;

namespace {

HttpLimit
LimitOf(error_code aError)
{
  if (aError == http::error::header_limit) {
    return HttpLimit::Header;
  }
  if (aError == http::error::body_limit) {
    return HttpLimit::Body;
  }
  if (aError == http::error::buffer_overflow) {
    return HttpLimit::Framing;
  }
  return aError == beast::error::timeout ? HttpLimit::Time : HttpLimit::None;
}

std::nullopt_t
FailLimit(FailureReason& aReason, HttpLimit aLimit)
{
  switch (aLimit) {
    case HttpLimit::Time:
      return Fail(aReason, ReasonCode::Expired, "request sent too slowly");
    case HttpLimit::Memory:
      return Fail(aReason,
                  ReasonCode::Overloaded,
                  "largest of the requests that are being received, which "
                  "together exceed the limit");
    case HttpLimit::Header:
      return Fail(aReason, ReasonCode::TooLarge, "header too large", "headers");
    case HttpLimit::Body:
      return Fail(aReason, ReasonCode::TooLarge, "body too large", "body");
    default:
      return Fail(aReason,
                  ReasonCode::TooLarge,
                  "chunk extensions or trailers too large",
                  "chunks");
  }
}

// Maps a failed read of a request to the reason that determines the error
// response.
std::nullopt_t
FailRead(FailureReason& aReason, error_code aError)
{
  if (aError == http::error::end_of_stream ||
      aError == http::error::partial_message ||
      aError.category() !=
        beast::error_code(http::error::bad_method).category()) {
    return Fail(aReason, ReasonCode::Cancelled, aError.message());
  }
  return Fail(aReason, ReasonCode::InvalidArgument, aError.message(), "http");
}

using RequestParser = http::request_parser<http::string_body>;

// Returns the request without its body.
HttpRequest
HeadOf(const http::request<http::string_body>& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  request.keepAlive = aMessage.keep_alive();
  for (const auto& field : aMessage) {
    request.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return request;
}

// Parses what has been read, as far as it is complete, and takes the head once
// it is. Trailers are dropped: Beast adds them to the fields of the header,
// where they would pass for fields that were checked. Beast stores no field
// whose name or value exceeds 64 KiB and throws for it, whatever the limits on
// the header and on trailers.
void
ParseBuffer(beast::flat_buffer& aBuffer,
            RequestParser& aParser,
            std::optional<HttpRequest>& aHead,
            error_code& aError)
{
  try {
    aBuffer.consume(aParser.put(aBuffer.data(), aError));
    if (!aError && !aHead && aParser.is_header_done()) {
      aHead = HeadOf(aParser.get());
      aParser.eager(true);
      if (!aParser.is_done() && aBuffer.size() > 0) {
        aBuffer.consume(aParser.put(aBuffer.data(), aError));
      }
    }
  } catch (const std::length_error&) {
    aError = http::error::header_limit;
  }
  if (aError == http::error::need_more) {
    aError = {};
  }
}

// Returns how many bytes to read next; zero if the parser needs more in one
// piece than the buffer holds.
std::size_t
BytesToRead(const RequestParser& aParser, const beast::flat_buffer& aBuffer)
{
  std::size_t wanted = kIdleReadBytes;
  if (aParser.is_header_done()) {
    const std::uint64_t left =
      aParser.content_length_remaining().value_or(kMaxReadBufferBytes);
    wanted = std::max<std::uint64_t>(
      wanted, std::min<std::uint64_t>(left, kMaxReadBufferBytes));
  }
  return std::min(wanted, aBuffer.max_size() - aBuffer.size());
}

// A response without a body keeps the length that its fields state: it is that
// of the body which another method would get.
http::response<http::string_body>
ToMessage(HttpResponse aResponse, bool aIsHeadOnly)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(aResponse.status);
  for (const HttpHeader& header : aResponse.headers) {
    message.insert(header.name, header.value);
  }
  message.body() = std::move(aResponse.body);
  const bool statesLength =
    !FindHeader(aResponse.headers, "Content-Length").empty();
  if (!aIsHeadOnly) {
    message.prepare_payload();
  } else if (!statesLength && !message.body().empty()) {
    message.content_length(message.body().size());
  }
  return message;
}

} // namespace

Task<bool>
HttpConnection::WaitForRequest(FailureReason& aReason)
{
  State& connection = *this->state;
  connection.held.reset();
  if (connection.buffer.size() == 0 &&
      connection.buffer.capacity() > kIdleReadBytes) {
    connection.ReleaseBuffer();
  }
  error_code error;
  while (connection.buffer.size() == 0 && !error) {
    connection.stream.expires_after(connection.limits.idleTimeout);
    const std::size_t bytes = co_await connection.stream.async_read_some(
      connection.buffer.prepare(kIdleReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    connection.buffer.commit(bytes);
    error_code ignored;
    if (error == asio::error::operation_aborted &&
        connection.stream.socket().available(ignored) > 0) {
      // A request crossed StopWaiting.
      error = {};
    }
  }
  if (error) {
    Fail(aReason, ReasonCode::Cancelled, error.message());
  }
  co_return !error;
}

void
HttpConnection::StopWaiting()
{
  this->state->stream.cancel();
}

bool
HttpConnection::CloseIfIdle()
{
  error_code ignored;
  if (this->state->stream.socket().available(ignored) > 0) {
    return false;
  }
  this->Close();
  return true;
}

Task<std::optional<HttpRequest>>
HttpConnection::ReadRequest(FailureReason& aReason)
{
  State& connection = *this->state;
  error_code error;
  const bool arrived = co_await this->WaitForRequest(aReason);
  if (!arrived) {
    co_return std::nullopt;
  }
  if (connection.memory != nullptr) {
    connection.held.emplace(*connection.memory,
                            [&connection] { connection.stream.cancel(); });
  }
  RequestParser parser;
  parser.header_limit(connection.limits.headerBytes);
  parser.body_limit(connection.limits.bodyBytes);
  connection.stream.expires_after(connection.limits.readTimeout);
  std::optional<HttpRequest> request;
  bool mayHold = true;
  ParseBuffer(connection.buffer, parser, request, error);
  while (!parser.is_done() && !error && mayHold) {
    const std::size_t wanted = BytesToRead(parser, connection.buffer);
    if (wanted == 0) {
      error = http::error::buffer_overflow;
      break;
    }
    const std::size_t bytes = co_await connection.stream.async_read_some(
      connection.buffer.prepare(wanted),
      asio::redirect_error(asio::use_awaitable, error));
    connection.buffer.commit(bytes);
    if (!error) {
      ParseBuffer(connection.buffer, parser, request, error);
    }
    mayHold = connection.Hold(kRequestBodyCopies * parser.get().body().size());
  }
  connection.stream.expires_never();
  if (connection.buffer.size() == 0) {
    connection.ReleaseBuffer();
  }
  connection.isHeadOnly = parser.get().method() == http::verb::head;
  connection.limitMet = mayHold ? LimitOf(error) : HttpLimit::Memory;
  if (connection.limitMet != HttpLimit::None) {
    co_return FailLimit(aReason, connection.limitMet);
  }
  if (error) {
    co_return FailRead(aReason, error);
  }
  if (connection.held) {
    connection.held->NoteComplete();
  }
  request->body = std::move(parser.get().body());
  co_return request;
}

Task<bool>
HttpConnection::WriteResponse(HttpResponse aResponse, bool aKeepAlive)
{
  State& connection = *this->state;
  http::response<http::string_body> message =
    ToMessage(std::move(aResponse), connection.isHeadOnly);
  message.keep_alive(aKeepAlive);
  http::response_serializer<http::string_body> serializer(message);
  serializer.split(connection.isHeadOnly);
  error_code error;
  connection.BeginWrite();
  while (!error && !serializer.is_done() &&
         !(connection.isHeadOnly && serializer.is_header_done())) {
    const std::size_t written = co_await http::async_write_some(
      connection.stream,
      serializer,
      asio::redirect_error(asio::use_awaitable, error));
    connection.NoteWritten(written);
  }
  connection.stream.expires_never();
  co_return !error;
}

Task<bool>
HttpConnection::BeginStream(unsigned aStatus, std::vector<HttpHeader> aHeaders)
{
  http::response<http::empty_body> message;
  message.version(11);
  message.result(aStatus);
  for (const HttpHeader& header : aHeaders) {
    message.insert(header.name, header.value);
  }
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  error_code error;
  this->state->stream.expires_after(this->state->limits.writeTimeout);
  co_await http::async_write_header(
    this->state->stream,
    serializer,
    asio::redirect_error(asio::use_awaitable, error));
  this->state->stream.expires_never();
  co_return !error;
}

Task<bool>
HttpConnection::State::WriteAll(std::string aBytes)
{
  error_code error;
  std::size_t done = 0;
  this->BeginWrite();
  while (!error && done < aBytes.size()) {
    const std::size_t written = co_await this->stream.async_write_some(
      asio::buffer(aBytes) + done,
      asio::redirect_error(asio::use_awaitable, error));
    this->NoteWritten(written);
    done += written;
  }
  this->stream.expires_never();
  co_return !error;
}

Task<bool>
HttpConnection::WriteChunk(std::string aChunk)
{
  if (this->state->isHeadOnly) {
    co_return true;
  }
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aChunk.size());
  aChunk.insert(0, size.data());
  aChunk += "\r\n";
  const bool written = co_await this->state->WriteAll(std::move(aChunk));
  co_return written;
}

Task<bool>
HttpConnection::EndStream()
{
  if (this->state->isHeadOnly) {
    co_return true;
  }
  std::string last("0\r\n\r\n");
  const bool written = co_await this->state->WriteAll(std::move(last));
  co_return written;
}

Task<void>
HttpConnection::WaitClosed()
{
  asio::ip::tcp::socket& socket = this->state->stream.socket();
  error_code error;
  co_await socket.async_wait(asio::ip::tcp::socket::wait_read,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  char byte = 0;
  socket.non_blocking(true, error);
  const std::size_t bytes = socket.receive(
    asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  if (error == asio::error::eof || (error && bytes == 0)) {
    co_return;
  }
  asio::steady_timer never(socket.get_executor(),
                           asio::steady_timer::time_point::max());
  co_await never.async_wait(asio::use_awaitable);
}

void
HttpConnection::SetLimits(const HttpLimits& aLimits)
{
  State& connection = *this->state;
  connection.limits = aLimits;
  connection.buffer.max_size(std::max(
    connection.buffer.size(), aLimits.headerBytes + kMaxReadBufferBytes));
}

void
HttpConnection::LimitHeldBytes(std::shared_ptr<MessageMemory> aMemory)
{
  this->state->memory = std::move(aMemory);
}

bool
HttpConnection::Hold(std::size_t aBytes)
{
  return this->state->Hold(aBytes);
}

HttpLimit
HttpConnection::LimitMet() const
{
  return this->state->limitMet;
}

std::string
HttpConnection::PeerAddress() const
{
  error_code error;
  const auto peer = this->state->stream.socket().remote_endpoint(error);
  return error ? std::string()
               : peer.address().to_string() + ":" + std::to_string(peer.port());
}

void
HttpConnection::Close()
{
  error_code ignored;
  this->state->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                        ignored);
  this->state->stream.close();
}

HttpConnection
AdoptConnection(asio::ip::tcp::socket aSocket, HttpLimits aLimits)
{
  return HttpConnection(
    std::make_unique<HttpConnection::State>(std::move(aSocket), aLimits));
}

} // namespace wigeonwalk
