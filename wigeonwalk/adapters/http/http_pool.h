// A pool of idle HTTP/1.1 client connections.
//
//   auto connection = co_await pool.Acquire(address, Reuse::Allowed, deadline,
//                                           reason);
//   if (connection && co_await connection->Send(request, deadline, reason)) {
//     auto response = co_await connection->ReadResponse(deadline, reason);
//   }
#pragma once

#include "wigeonwalk/adapters/http/http_client.h"
#include "wigeonwalk/base/enum_names.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Whether a call may reuse a pooled connection. A call that must not be
// repeated needs a fresh one, because the peer of a pooled one may have become
// unresponsive.
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

// A pool of idle connections by address. The bytes that are held of responses
// on all its connections are bounded together. Not thread-safe.
class HttpPool
{
public:
  // Most idle connections, unless SetMaxIdleCount sets another number.
  static constexpr std::size_t kDefaultMaxIdleCount = 2'000;

  // Connections that have been idle for longer than aMaxIdle are closed instead
  // of reused.
  HttpPool(SystemTimer& aTimer,
           boost::asio::any_io_executor aExecutor,
           Duration aMaxIdle);
  ~HttpPool();

  // Returns an idle connection where aReuse allows it and one is usable, else a
  // new one, or nothing with the reason.
  Task<std::optional<HttpClientConnection>> Acquire(const std::string& aAddress,
                                                    Reuse aReuse,
                                                    TimePoint aDeadline,
                                                    FailureReason& aReason);

  // Returns a connection to the pool, or closes it if it is not reusable.
  void Release(HttpClientConnection aConnection);

  // Sends one request and reads the complete response. The connection is not
  // reused after a refusal: a repeated copy of it could be taken for the
  // response to a later request, which would count as not run.
  Task<std::optional<HttpResponse>> Exchange(const std::string& aAddress,
                                             const HttpRequest& aRequest,
                                             Reuse aReuse,
                                             TimePoint aDeadline,
                                             FailureReason& aReason);

  // Closes the idle connections to an address. Needed when another process now
  // uses the address, or when a connection to it became unresponsive.
  void CloseIdle(const std::string& aAddress);

  // Sets the most idle connections to all addresses. Beyond it, the one that
  // has been idle for the longest time is closed.
  void SetMaxIdleCount(std::size_t aCount) { this->maxIdleCount = aCount; }

  // Closes the connection that has been idle for the longest time. Returns
  // false if none is idle.
  bool CloseLongestIdle();

  // Number of idle connections to all addresses.
  std::size_t IdleCount() const;

  SystemTimer& Clock() { return this->timer; }

private:
  struct Idle
  {
    HttpClientConnection connection;
    TimePoint idleSince;
    // The peer may close the connection after this time.
    TimePoint reusableUntil;
  };

  // Closes what has been idle for too long. To all addresses only once in each
  // `maxIdle`.
  void CloseExpired(std::vector<Idle>& aConnections, TimePoint aNow);
  void CloseAllExpired(TimePoint aNow);

  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  Duration maxIdle;
  std::size_t maxIdleCount = kDefaultMaxIdleCount;
  // When all addresses were looked at.
  TimePoint lookedAt;
  // Shared with connections, which may outlive the pool.
  std::shared_ptr<MessageMemory> heldMessages =
    std::make_shared<MessageMemory>();
  // By address; the longest idle first.
  std::map<std::string, std::vector<Idle>> idle;
};

} // namespace wigeonwalk
