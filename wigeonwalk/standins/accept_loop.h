// Accepts connections of a stand-in and serves each in its own coroutine.
//
//   const auto serve = [this](HttpConnection aConnection) {
//     return this->ServeConnection(std::move(aConnection));
//   };
//   co_await AcceptAll(executor, address, serve, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>
#include <utility>

namespace wigeonwalk {

// Accepts until cancelled. Returns early with the reason if the address cannot
// be used.
template<typename Serve>
Task<void>
AcceptAll(boost::asio::any_io_executor aExecutor,
          std::string aAddress,
          Serve aServe,
          FailureReason& aReason)
{
  auto listener = HttpListener::Open(aExecutor, aAddress, {}, aReason);
  if (!listener) {
    co_return;
  }
  while (auto connection = co_await listener->Accept(aReason)) {
    boost::asio::co_spawn(
      aExecutor, aServe(std::move(*connection)), boost::asio::detached);
  }
}

} // namespace wigeonwalk
