// HTTP/1.1 client side: one connection, and a pool of idle ones.
//
//   auto connection = co_await pool.Acquire(address, Reuse::Allowed, deadline,
//                                           reason);
//   if (connection && co_await connection->Send(request, deadline, reason)) {
//     auto response = co_await connection->ReadResponse(deadline, reason);
//   }
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_message.h"
#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Largest response body that ReadResponse accepts, in bytes.
inline constexpr std::uint64_t kMaxResponseBytes = 16 * 1024 * 1024;

// Whether a call may use a pooled connection. A call that may not be repeated
// takes a fresh one, because a pooled one may have gone silent.
enum class Reuse
{
  Allowed,
  FreshOnly,
};

template<>
struct EnumNames<Reuse>
{
  static constexpr std::array<EnumName<Reuse>, 2> kTable{ {
    { Reuse::Allowed, "allowed" },
    { Reuse::FreshOnly, "fresh-only" },
  } };
};
static_assert(HasCompleteTable<Reuse>());

// One connection to an upstream. A failure's reason says how far the exchange
// got: ConnectRefused, ConnectTimeout, WriteFailedPartWay,
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

  // Sends a whole request.
  Task<bool> Send(const HttpRequest& aRequest,
                  TimePoint aDeadline,
                  FailureReason& aReason);

  // Reads the head of the response; its body stays to be read.
  Task<std::optional<HttpResponse>> ReadHead(TimePoint aDeadline,
                                             FailureReason& aReason);

  // Reads some bytes of the body; an empty string at its end.
  Task<std::optional<std::string>> ReadSome(TimePoint aDeadline,
                                            FailureReason& aReason);

  // Waits until bytes can be read. Returns false at the deadline; the
  // connection stays open and usable, unlike after a read that times out.
  Task<bool> WaitReadable(TimePoint aDeadline);

  // Reads head and body.
  Task<std::optional<HttpResponse>> ReadResponse(TimePoint aDeadline,
                                                 FailureReason& aReason);

  // True where the last response was read to its end, no byte is left over and
  // the peer keeps the connection open.
  bool Reusable() const;

  // True where the peer has neither sent anything nor closed the connection.
  bool IsQuiet();

  // How long the peer keeps the idle connection, as it said in its last answer;
  // Duration::max() where it said nothing.
  Duration KeptFor() const;

  const std::string& Address() const;
  void Close();

private:
  explicit HttpClientConnection(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

// Idle connections by address. Not thread-safe.
class HttpPool
{
public:
  // Connections idle for longer than aMaxIdle are closed instead of reused.
  HttpPool(SystemTimer& aTimer,
           boost::asio::any_io_executor aExecutor,
           Duration aMaxIdle);
  ~HttpPool();

  Task<std::optional<HttpClientConnection>> Acquire(const std::string& aAddress,
                                                    Reuse aReuse,
                                                    TimePoint aDeadline,
                                                    FailureReason& aReason);

  // Takes a connection back, or closes it where it may not be reused.
  void Release(HttpClientConnection aConnection);

  // Sends one request and reads the whole response.
  Task<std::optional<HttpResponse>> Exchange(const std::string& aAddress,
                                             const HttpRequest& aRequest,
                                             Reuse aReuse,
                                             TimePoint aDeadline,
                                             FailureReason& aReason);

  // Closes the idle connections to an address: it belongs to another process
  // now, or a connection to it went silent.
  void Forget(const std::string& aAddress);

  SystemTimer& Clock() { return this->timer; }

private:
  struct Idle
  {
    HttpClientConnection connection;
    TimePoint since;
    // The peer may close it after this time.
    TimePoint until;
  };

  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  Duration maxIdle;
  std::map<std::string, std::vector<Idle>> idle;
};

} // namespace wigeonwalk
