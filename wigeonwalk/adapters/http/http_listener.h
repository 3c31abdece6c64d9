// Listens for HTTP/1.1 connections.
//
//   while (auto connection = co_await listener.Accept(reason)) {
//     Spawn(ServeConnection(std::move(*connection)));
//   }
#pragma once

#include "wigeonwalk/adapters/http/http_connection.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

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

  // `aMakeRoom` is called each time that a connection can't be accepted for
  // lack of descriptors.
  void OnNoDescriptors(std::function<void()> aMakeRoom);

  void Close();

private:
  explicit HttpListener(std::unique_ptr<State> aState);

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
