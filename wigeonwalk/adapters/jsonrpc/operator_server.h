// The daemon's listener for operators: JSON-RPC 2.0 in frames over TCP.
//
//   OperatorServer server(executor);
//   server.Register("status", [&](std::string, FailureReason&)
//     -> Task<std::optional<std::string>> { co_return StatusJson(); });
//   server.Listen(settings.operatorAddress, reason);
//   co_spawn(executor, server.Run(), detached);
//
// docs/operator-api.md lists the methods.
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// Handles a call: returns the result as JSON, or returns nothing and sets the
// reason. The parameters are a JSON object. The handler may suspend.
using OperatorHandler =
  std::function<Task<std::optional<std::string>>(std::string aParamsJson,
                                                 FailureReason& aReason)>;

// Handles a call without suspending: returns the result as JSON, or returns
// nothing and sets the error.
using SimpleOperatorHandler =
  std::function<std::optional<std::string>(const std::string& aParamsJson,
                                           std::string& aError)>;

// Takes over a connection whose first byte cannot begin a frame, such as one
// that begins with an HTTP method. No byte has been consumed.
using FallbackHandler = std::function<Task<>(boost::asio::ip::tcp::socket)>;

struct OperatorServerOptions
{
  // Maximum number of open connections; further ones are closed. Operators are
  // few.
  std::size_t connections = 64;
  // Maximum idle time between two requests, and maximum time to transfer a
  // frame.
  Duration idleTimeout = std::chrono::minutes(5);
  Duration frameTimeout = std::chrono::seconds(10);
};

// Serves each connection in its own coroutine, all on one I/O thread. Must
// outlive Run and all connections.
class OperatorServer
{
public:
  explicit OperatorServer(boost::asio::any_io_executor aExecutor,
                          OperatorServerOptions aOptions = {});
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Adds a method. All methods must be added before Listen.
  void Register(const std::string& aMethod, OperatorHandler aHandler);
  void RegisterSimple(const std::string& aMethod,
                      SimpleOperatorHandler aHandler);

  // Sets the handler for connections of another protocol; without a handler,
  // they are closed.
  void SetFallbackHandler(FallbackHandler aHandler);

  // Opens the listener on "IP:port"; port 0 lets the system choose.
  bool Listen(const std::string& aAddress, FailureReason& aReason);

  // Returns the address of the listener with its real port.
  std::string Address() const;

  // Accepts connections until Stop.
  Task<> Run();

  // Closes the listener and all connections that wait for a request. A
  // connection with calls in progress is closed after its response.
  void Stop();

private:
  struct State;

  std::shared_ptr<State> state;
};

} // namespace wigeonwalk
