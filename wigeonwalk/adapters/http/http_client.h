// HTTP/1.1 client: one connection.
//
//   auto connection = co_await HttpClientConnection::Connect(
//     timer, executor, address, deadline, reason);
//   if (connection && co_await connection->Send(request, deadline, reason)) {
//     auto response = co_await connection->ReadResponse(deadline, reason);
//   }
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_message.h"
#include "wigeonwalk/adapters/http/message_memory.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// One connection to an upstream. The reason of a failure tells how far the
// exchange got: ConnectRefused, ConnectTimeout, WriteFailedPartWay,
// ConnectionLostAfterWrite, ResponseTimeout or MalformedResponse.
class HttpClientConnection
{
public:
  struct State;

  static Task<std::optional<HttpClientConnection>> Connect(
    SystemTimer& aTimer,
    boost::asio::any_io_executor aExecutor,
    const std::string& aAddress,
    TimePoint aDeadline,
    FailureReason& aReason);

  HttpClientConnection(HttpClientConnection&&) noexcept;
  HttpClientConnection& operator=(HttpClientConnection&&) noexcept;
  ~HttpClientConnection();

  // Sends a complete request.
  Task<bool> Send(const HttpRequest& aRequest,
                  TimePoint aDeadline,
                  FailureReason& aReason);

  // Reads the status and headers of the response. Interim responses (1xx) are
  // skipped. The body is not read yet; ReadSome reads it.
  Task<std::optional<HttpResponse>> ReadHead(TimePoint aDeadline,
                                             FailureReason& aReason);

  // Reads the next bytes of the body. Returns an empty string at its end.
  Task<std::optional<std::string>> ReadSome(TimePoint aDeadline,
                                            FailureReason& aReason);

  // Waits until bytes can be read. Returns false at the deadline. Unlike after
  // a read that times out, the connection stays open and usable.
  Task<bool> WaitReadable(TimePoint aDeadline);

  // Reads the complete response.
  Task<std::optional<HttpResponse>> ReadResponse(TimePoint aDeadline,
                                                 FailureReason& aReason);

  // Counts the bytes that are held of responses in `aMemory`.
  void LimitHeldBytes(std::shared_ptr<MessageMemory> aMemory);

  // Sets how many bytes of the current response the reader holds until it has
  // received more. Returns false with MalformedResponse if the response was
  // ended because too many bytes are held of all. ReadResponse calls it itself.
  // Zero ends what was held.
  bool Hold(std::size_t aBytes, FailureReason& aReason);

  // The held response waits for its receiver from now on. `aGiveUp` is called,
  // before the next call of Hold, if it is ended because the memory is needed
  // and it has waited longest.
  void GiveUpIfSlow(std::function<void()> aGiveUp);

  // True if the last response was read to its end, no bytes follow it, and its
  // headers and framing allow keep-alive.
  bool Reusable() const;

  // True if an earlier request was sent on this connection.
  bool IsReused() const;

  // True if the response has neither a length nor chunks, so that its body ends
  // when the peer closes the connection.
  bool EndsWithConnection() const;

  // True if the peer has neither sent unread bytes nor closed the connection.
  bool IsOpenAndIdle();

  // How long the peer keeps an idle connection open, from the Keep-Alive header
  // of its last response; Duration::max() if that gives no timeout.
  Duration KeepAliveTimeout() const;

  const std::string& Address() const;
  void Close();

private:
  explicit HttpClientConnection(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
