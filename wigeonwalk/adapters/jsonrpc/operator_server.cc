#include "wigeonwalk/adapters/jsonrpc/operator_server.h"

#include "wigeonwalk/adapters/address/endpoint.h"
#include "wigeonwalk/adapters/jsonrpc/frames.h"
#include "wigeonwalk/adapters/jsonrpc/rpc14/json_rpc.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace wigeonwalk {

namespace {

using boost::asio::ip::tcp;

// One call of a request, with its result or reason once it has run.
struct Call
{
  std::string method;
  std::string params;
  std::optional<std::string> result;
  FailureReason reason;
};

JsonRpcError
ErrorOf(const FailureReason& aReason)
{
  const nlohmann::json data{ { "reason", std::string(NameOf(aReason.code)) },
                             { "place", aReason.place },
                             { "detail", aReason.detail } };
  const auto replace = nlohmann::json::error_handler_t::replace;
  return { static_cast<int>(JsonRpcCode::Refused),
           aReason.ToString(),
           data.dump(-1, ' ', false, replace) };
}

// An open connection: its socket, and a timer that closes it at a timeout.
struct Connection : std::enable_shared_from_this<Connection>
{
  explicit Connection(tcp::socket aSocket)
    : socket(std::move(aSocket))
    , timer(this->socket.get_executor())
  {
  }

  void CloseAfter(Duration aTimeout)
  {
    this->timer.expires_after(aTimeout);
    this->timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& aError) {
        const auto connection = weak.lock();
        // The timer may have been set again after this wait ended.
        if (!aError && connection &&
            connection->timer.expiry() <= std::chrono::steady_clock::now()) {
          connection->Close();
        }
      });
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  tcp::socket socket;
  boost::asio::steady_timer timer;
  // Whether a call is in progress, which Stop lets finish.
  bool answering = false;
};

} // namespace

struct OperatorServer::State
{
  State(boost::asio::any_io_executor aExecutor, OperatorServerOptions aOptions)
    : executor(std::move(aExecutor))
    , options(aOptions)
    , acceptor(this->executor)
  {
  }

  Task<> Run(Call& aCall);
  Task<std::string> Answer(std::string aRequest);
  Task<> Serve(std::shared_ptr<Connection> aConnection);
  Task<> ServeFrames(Connection& aConnection);

  boost::asio::any_io_executor executor;
  OperatorServerOptions options;
  tcp::acceptor acceptor;
  std::map<std::string, OperatorHandler> handlers;
  FallbackHandler fallback;
  std::unique_ptr<JsonRpcServer> rpc;
  std::list<std::shared_ptr<Connection>> connections;
  bool stopping = false;
};

// An exception, such as that of a JSON library for a parameter of the wrong
// type, fails this call and leaves the connection open.
Task<>
OperatorServer::State::Run(Call& aCall)
{
  try {
    aCall.result =
      co_await this->handlers.at(aCall.method)(aCall.params, aCall.reason);
  } catch (const std::exception&) {
    Fail(aCall.reason,
         ReasonCode::InvalidArgument,
         "the daemon cannot process these parameters",
         "params");
  }
}

// The JSON-RPC library is synchronous, but handlers may suspend. Each request
// is therefore passed to it twice: first to collect the calls, and again, once
// they have run, to encode their results.
Task<std::string>
OperatorServer::State::Answer(std::string aRequest)
{
  std::vector<Call> calls;
  std::string response =
    this->rpc->HandleRequest(aRequest,
                             [&calls](const std::string& aMethod,
                                      const std::string& aParams,
                                      std::string& aResult,
                                      JsonRpcError&) {
                               calls.push_back({ aMethod, aParams, {}, {} });
                               aResult = "null";
                               return true;
                             });
  if (calls.empty()) {
    co_return response;
  }
  for (auto& call : calls) {
    co_await this->Run(call);
  }
  std::size_t next = 0;
  co_return this->rpc->HandleRequest(aRequest,
                                     [&calls, &next](const std::string&,
                                                     const std::string&,
                                                     std::string& aResult,
                                                     JsonRpcError& aError) {
                                       const Call& call = calls.at(next++);
                                       if (call.result) {
                                         aResult = *call.result;
                                         return true;
                                       }
                                       aError = ErrorOf(call.reason);
                                       return false;
                                     });
}

Task<>
OperatorServer::State::ServeFrames(Connection& aConnection)
{
  FailureReason reason;
  while (!this->stopping) {
    aConnection.CloseAfter(this->options.idleTimeout);
    boost::system::error_code error;
    co_await aConnection.socket.async_wait(
      tcp::socket::wait_read,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    aConnection.CloseAfter(this->options.frameTimeout);
    auto request =
      co_await ReadFrame(aConnection.socket, kMaxRequestBytes, reason);
    if (!request) {
      co_return;
    }
    aConnection.timer.cancel();
    aConnection.answering = true;
    const std::string response = co_await this->Answer(std::move(*request));
    aConnection.CloseAfter(this->options.frameTimeout);
    const bool sent = co_await WriteFrame(aConnection.socket, response, reason);
    aConnection.answering = false;
    if (!sent) {
      co_return;
    }
  }
}

Task<>
OperatorServer::State::Serve(std::shared_ptr<Connection> aConnection)
{
  std::array<char, 1> first{};
  boost::system::error_code error;
  aConnection->CloseAfter(this->options.idleTimeout);
  co_await aConnection->socket.async_receive(
    boost::asio::buffer(first),
    tcp::socket::message_peek,
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  aConnection->timer.cancel();
  // A frame's length fits in three bytes, so that its first byte is at most 1;
  // every other protocol of this listener begins with a letter.
  if (!error && first[0] <= 1) {
    co_await this->ServeFrames(*aConnection);
  } else if (!error && this->fallback) {
    co_await this->fallback(std::move(aConnection->socket));
  }
  aConnection->timer.cancel();
  this->connections.remove(aConnection);
}

OperatorServer::OperatorServer(boost::asio::any_io_executor aExecutor,
                               OperatorServerOptions aOptions)
  : state(std::make_shared<State>(std::move(aExecutor), aOptions))
{
}

OperatorServer::~OperatorServer() = default;

void
OperatorServer::Register(const std::string& aMethod, OperatorHandler aHandler)
{
  this->state->handlers[aMethod] = std::move(aHandler);
}

void
OperatorServer::RegisterSimple(const std::string& aMethod,
                               SimpleOperatorHandler aHandler)
{
  this->Register(aMethod,
                 [handler = std::move(aHandler)](
                   std::string aParams,
                   FailureReason& aReason) -> Task<std::optional<std::string>> {
                   std::string error;
                   auto result = handler(aParams, error);
                   if (!result) {
                     Fail(aReason, ReasonCode::InvalidArgument, error);
                   }
                   co_return result;
                 });
}

void
OperatorServer::SetFallbackHandler(FallbackHandler aHandler)
{
  this->state->fallback = std::move(aHandler);
}

bool
OperatorServer::Listen(const std::string& aAddress, FailureReason& aReason)
{
  const auto endpoint = ParseEndpoint(aAddress, aReason);
  if (!endpoint) {
    return false;
  }
  std::vector<std::string> methods;
  for (const auto& [method, handler] : this->state->handlers) {
    methods.push_back(method);
  }
  this->state->rpc = std::make_unique<JsonRpcServer>(methods);
  auto& acceptor = this->state->acceptor;
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(*endpoint, error);
  }
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    Fail(aReason, ReasonCode::Unavailable, error.message(), aAddress);
  }
  return !error;
}

std::string
OperatorServer::Address() const
{
  boost::system::error_code ignored;
  return PrintEndpoint(this->state->acceptor.local_endpoint(ignored));
}

Task<>
OperatorServer::Run()
{
  // Keeps the state alive for connections that outlive the server.
  const std::shared_ptr<State> sharedState = this->state;
  while (!sharedState->stopping) {
    boost::system::error_code error;
    tcp::socket socket = co_await sharedState->acceptor.async_accept(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // For example, out of file descriptors: waits before the next attempt.
      boost::asio::steady_timer timer(sharedState->executor,
                                      std::chrono::seconds(1));
      co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      continue;
    }
    if (sharedState->connections.size() >= sharedState->options.connections) {
      continue;
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    sharedState->connections.push_back(connection);
    boost::asio::co_spawn(
      sharedState->executor,
      [sharedState, connection]() { return sharedState->Serve(connection); },
      boost::asio::detached);
  }
}

void
OperatorServer::Stop()
{
  this->state->stopping = true;
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  for (const auto& connection : this->state->connections) {
    if (!connection->answering) {
      connection->Close();
    }
  }
}

} // namespace wigeonwalk
