// Open connections of one listener, and those among them that wait for their
// next request.
//
//   CountedConnection counted(connections);
//   const bool arrived = co_await idle.Wait(connection, counted, reason);
//   if (!idle.CloseLongest()) { ... all connections have requests ... }
#pragma once

#include "wigeonwalk/adapters/http/http_connection.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// Counts a connection until it is closed.
class CountedConnection
{
public:
  explicit CountedConnection(std::size_t& aCount)
    : count(&aCount)
  {
    ++*this->count;
  }
  ~CountedConnection() { this->Release(); }
  CountedConnection(const CountedConnection&) = delete;
  CountedConnection& operator=(const CountedConnection&) = delete;

  // The connection is closed, though its session has not ended yet.
  void Release()
  {
    if (std::size_t* counted = std::exchange(this->count, nullptr)) {
      --*counted;
    }
  }

private:
  std::size_t* count;
};

// Must outlive the sessions that wait. Not thread-safe.
class IdleConnections
{
public:
  // Waits until the next request begins to arrive; the connection is listed as
  // idle meanwhile. Returns as HttpConnection::WaitForRequest.
  Task<bool> Wait(HttpConnection& aConnection,
                  CountedConnection& aCounted,
                  FailureReason& aReason);

  // Closes the connection that has been idle for the longest time. Returns the
  // address of its peer, or nothing if none is idle.
  std::optional<std::string> CloseLongest();

  // Ends the wait of all connections on which no bytes have arrived.
  void StopWaiting();

private:
  struct Idle
  {
    HttpConnection* connection = nullptr;
    CountedConnection* counted = nullptr;
  };

  // The longest idle first.
  std::map<std::uint64_t, Idle> idle;
  std::uint64_t lastIdle = 0;
};

} // namespace wigeonwalk
