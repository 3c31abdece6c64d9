// HTTP/1.1 server on Boost.Beast: a listener and its connections.
//
//   while (auto connection = co_await listener.Accept(reason)) {
//     Spawn(ServeConnection(std::move(*connection)));
//   }
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_message.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// Limits on one request. Sizes are in bytes.
struct HttpLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  // Longest time to wait for the first byte of the next request.
  Duration idleTimeout = std::chrono::seconds(60);
  // Longest time to read a request, from its first byte to its last.
  Duration readTimeout = std::chrono::seconds(10);
  // Longest time for one write, of a response or of a chunk, to complete.
  Duration writeTimeout = std::chrono::seconds(30);
};

// One accepted connection. Not thread-safe: used by one coroutine, except that
// WaitClosed may run concurrently with writes.
class HttpConnection
{
public:
  struct State;

  explicit HttpConnection(std::unique_ptr<State> aState);
  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;
  ~HttpConnection();

  // Sets the limits for subsequent requests.
  void SetLimits(const HttpLimits& aLimits);

  // Waits until the next request begins to arrive. Returns false with the
  // reason Cancelled if the peer closed the connection or stayed idle, or if
  // StopWaiting was called.
  Task<bool> WaitForRequest(FailureReason& aReason);

  // Ends WaitForRequest, unless bytes have arrived.
  void StopWaiting();

  // Reads the next request. Returns nothing with the reason Cancelled if the
  // peer closed the connection or stayed idle. Returns nothing with TooLarge,
  // InvalidArgument or Expired if the caller must send an error response and
  // then close the connection.
  Task<std::optional<HttpRequest>> ReadRequest(FailureReason& aReason);

  // Writes a complete response. Returns false if the write failed, for example
  // because the peer closed the connection.
  Task<bool> WriteResponse(HttpResponse aResponse, bool aKeepAlive);

  // Write the header of a chunked response, one chunk, and the terminating
  // chunk. Return false if the write failed.
  Task<bool> BeginStream(unsigned aStatus, std::vector<HttpHeader> aHeaders);
  Task<bool> WriteChunk(std::string aChunk);
  Task<bool> EndStream();

  // Returns once the peer has closed the connection. If bytes of a pipelined
  // request arrive instead, a close can no longer be detected, and the wait
  // lasts until it is cancelled.
  Task<void> WaitClosed();

  void Close();

private:
  std::unique_ptr<State> state;
};

// Listens on one TCP address.
class HttpListener
{
public:
  struct State;

  // Listens on "IP:port"; port 0 selects a free port. Returns nothing with the
  // reason if the address is malformed or in use.
  static std::optional<HttpListener> Open(
    boost::asio::any_io_executor aExecutor,
    const std::string& aAddress,
    HttpLimits aLimits,
    FailureReason& aReason);

  HttpListener(HttpListener&&) noexcept;
  HttpListener& operator=(HttpListener&&) noexcept;
  ~HttpListener();

  // The port in use.
  std::uint16_t Port() const;

  // Waits for the next connection. Returns nothing with Cancelled once the
  // listener is closed.
  Task<std::optional<HttpConnection>> Accept(FailureReason& aReason);

  void Close();

private:
  explicit HttpListener(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
