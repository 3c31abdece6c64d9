// Accepts connections for a stand-in, one coroutine for each.
//
//   co_await AcceptAll(executor, address, [this](HttpConnection aConnection) {
//     return this->ServeConnection(std::move(aConnection));
//   }, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>
#include <utility>

namespace wigeonwalk {

// Listens until cancelled. Returns early with the reason where the address
// cannot be used.
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
