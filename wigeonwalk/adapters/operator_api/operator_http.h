// HTTP pages of the operator listener: metrics and health.
//
//   server.SetOtherProtocol([&](tcp::socket aSocket) {
//     return ServeOperatorHttp(std::move(aSocket), pages);
//   });
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace wigeonwalk {

// One answer.
struct OperatorPage
{
  unsigned status = 200;
  std::string contentType = "text/plain; version=0.0.4; charset=utf-8";
  std::string body;
};

// Returns the page of a path without its query, or nothing for 404.
using OperatorPages =
  std::function<std::optional<OperatorPage>(const std::string& aPath)>;

// Longest request, and longest time for it and for its answer.
inline constexpr std::size_t kMaxPageRequestBytes = 8 * 1024;
inline constexpr Duration kPageTimeout = std::chrono::seconds(10);

// Answers one GET request and closes the connection. Other methods get 405; a
// request that is malformed, too long or too slow gets no answer.
Task<>
ServeOperatorHttp(boost::asio::ip::tcp::socket aSocket, OperatorPages aPages);

} // namespace wigeonwalk
