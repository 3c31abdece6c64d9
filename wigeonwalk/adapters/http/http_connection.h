// One accepted HTTP/1.1 connection, on Boost.Beast.
//
//   while (auto request = co_await connection.ReadRequest(reason)) {
//     co_await connection.WriteResponse(Answer(*request), true);
//   }
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_message.h"
#include "wigeonwalk/adapters/http/message_memory.h"
#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// Copies of a request's body while it is forwarded: the request, and the
// message to the runner. Each counts toward the memory of requests.
inline constexpr std::size_t kRequestBodyCopies = 2;

// Most bytes that are read ahead of the parser beyond a request's header.
// Bounds what the parser needs in one piece: a chunk's size with its
// extensions, and trailers.
inline constexpr std::size_t kMaxReadBufferBytes = 32 * 1024;

// Limits on one request. Sizes are in bytes.
struct HttpLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  // Longest time to wait for the first byte of the next request.
  Duration idleTimeout = std::chrono::seconds(60);
  // Longest time to read a request, from its first byte to its last.
  Duration readTimeout = std::chrono::seconds(10);
  // Longest time in which the peer may take less than 4 KiB, or the rest, of
  // what is written.
  Duration writeTimeout = std::chrono::seconds(30);
};

// Which limit a peer exceeded.
enum class HttpLimit
{
  None,
  Header,
  Body,
  // A chunk's size with its extensions, or the trailers, in one piece.
  Framing,
  // The time for one request.
  Time,
  // The memory of all requests that are being received.
  Memory,
};

template<>
struct EnumNames<HttpLimit>
{
  static constexpr std::array<EnumName<HttpLimit>, 6> kTable{ {
    { HttpLimit::None, "none" },
    { HttpLimit::Header, "header" },
    { HttpLimit::Body, "body" },
    { HttpLimit::Framing, "framing" },
    { HttpLimit::Time, "time" },
    { HttpLimit::Memory, "memory" },
  } };
};
static_assert(HasCompleteTable<HttpLimit>());

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

  // Counts the memory of requests that are received in `aMemory`. A request
  // counts until the next one begins or the connection ends.
  void LimitHeldBytes(std::shared_ptr<MessageMemory> aMemory);

  // Sets how many bytes are held of the request that was read, until the next
  // one begins. Returns false if it must be refused because too many are held
  // of all requests.
  bool Hold(std::size_t aBytes);

  // The limit that the last request exceeded, if ReadRequest failed for it.
  HttpLimit LimitMet() const;

  // "IP:port" of the peer; empty if it is gone.
  std::string PeerAddress() const;

  // Waits until the next request begins to arrive. Returns false with the
  // reason Cancelled if the peer closed the connection or stayed idle, or if
  // StopWaiting was called.
  Task<bool> WaitForRequest(FailureReason& aReason);

  // Ends WaitForRequest, unless bytes have arrived.
  void StopWaiting();

  // Closes the connection while WaitForRequest waits. Returns false if bytes
  // have arrived.
  bool CloseIfIdle();

  // Reads the next request. Returns nothing with the reason Cancelled if the
  // peer closed the connection or stayed idle. Returns nothing with TooLarge,
  // InvalidArgument, Expired or Overloaded if the caller must send an error
  // response and then close the connection.
  Task<std::optional<HttpRequest>> ReadRequest(FailureReason& aReason);

  // Writes a complete response; to HEAD only its header. Returns false if the
  // write failed, for example because the peer closed the connection.
  Task<bool> WriteResponse(HttpResponse aResponse, bool aKeepAlive);

  // Write the header of a chunked response, one chunk, and the terminating
  // chunk; to HEAD only the header. Return false if the write failed.
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

} // namespace wigeonwalk
