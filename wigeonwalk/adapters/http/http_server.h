// HTTP/1.1 server side: a listener and one connection, by Boost.Beast.
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
  // Longest wait for the first byte of the next request.
  Duration idleTimeout = std::chrono::seconds(60);
  // Longest time from the first byte of a request to its last.
  Duration readTimeout = std::chrono::seconds(10);
  // Longest time for one write to make progress.
  Duration writeTimeout = std::chrono::seconds(30);
};

// One accepted connection. Not thread-safe; used by one coroutine, except that
// WaitClosed may run beside the writes.
class HttpConnection
{
public:
  struct State;

  explicit HttpConnection(std::unique_ptr<State> aState);
  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;
  ~HttpConnection();

  // Sets the limits on the next requests.
  void SetLimits(const HttpLimits& aLimits);

  // Reads the next request. Returns nothing with reason Cancelled where the
  // peer closed or stayed idle, and with TooLarge, InvalidArgument or Expired
  // where an error response is due before the connection is closed.
  Task<std::optional<HttpRequest>> ReadRequest(FailureReason& aReason);

  // Writes a whole response. Returns false where the peer is gone.
  Task<bool> WriteResponse(HttpResponse aResponse, bool aKeepAlive);

  // Writes the head of a chunked response, one chunk, and the last chunk.
  Task<bool> BeginStream(unsigned aStatus, std::vector<HttpHeader> aHeaders);
  Task<bool> WriteChunk(std::string aChunk);
  Task<bool> EndStream();

  // Returns once the peer has closed the connection. Bytes of a pipelined
  // request end the observation: it then waits until it is cancelled.
  Task<void> WaitClosed();

  void Close();

private:
  std::unique_ptr<State> state;
};

// Listens on one address.
class HttpListener
{
public:
  struct State;

  // Returns nothing with the reason where the address is malformed or taken.
  // Port 0 takes any free port.
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

  // Waits for the next connection. Returns nothing once the listener is closed.
  Task<std::optional<HttpConnection>> Accept(FailureReason& aReason);

  void Close();

private:
  explicit HttpListener(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
