#include "wigeonwalk/adapters/jsonrpc/operator_client.h"

#include "wigeonwalk/adapters/address/endpoint.h"
#include "wigeonwalk/adapters/jsonrpc/frames.h"
#include "wigeonwalk/adapters/jsonrpc/rpc14/json_rpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace wigeonwalk {

namespace {

// Converts a JSON-RPC error to the reason that the daemon sent in it.
FailureReason
ReasonOf(const JsonRpcError& aError)
{
  FailureReason reason{ ReasonCode::MalformedResponse, aError.message, {} };
  const auto data = nlohmann::json::parse(aError.dataJson, nullptr, false);
  if (data.is_object() && data.contains("reason") &&
      data["reason"].is_string()) {
    const auto code =
      ParseName<ReasonCode>(data["reason"].get_ref<const std::string&>());
    reason.code = code.value_or(ReasonCode::InvalidArgument);
    const auto text = [&data](const char* aKey) {
      const auto found = data.find(aKey);
      return found != data.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
    };
    reason.detail = text("detail");
    reason.place = text("place");
  } else if (aError.code == static_cast<int>(JsonRpcCode::MethodNotFound)) {
    reason.code = ReasonCode::NotFound;
    reason.detail = "the daemon does not know this method";
  }
  return reason;
}

} // namespace

struct OperatorClient::Impl
{
  Impl(std::string aAddress, Duration aTimeout)
    : address(std::move(aAddress))
    , timeout(aTimeout)
    , socket(this->context)
    , rpc([this](const std::string& aRequest,
                 std::string& aResponse,
                 std::string& aError) {
      return this->Transport(aRequest, aResponse, aError);
    })
  {
  }

  // Connects if needed, sends the request and reads the response.
  Task<bool> Exchange(std::string aRequest, std::string& aResponse)
  {
    if (!this->socket.is_open()) {
      const auto endpoint = ParseEndpoint(this->address, this->reason);
      if (!endpoint) {
        co_return false;
      }
      boost::system::error_code error;
      co_await this->socket.async_connect(
        *endpoint,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) {
        Fail(this->reason,
             ReasonCode::ConnectRefused,
             error.message(),
             this->address);
        co_return false;
      }
    }
    this->connected = true;
    if (!co_await WriteFrame(this->socket, aRequest, this->reason)) {
      co_return false;
    }
    auto text =
      co_await ReadFrame(this->socket, kMaxResponseBytes, this->reason);
    if (!text) {
      this->reason.code = this->reason.code == ReasonCode::TooLarge
                            ? ReasonCode::TooLarge
                            : ReasonCode::ConnectionLostAfterWrite;
      this->reason.place = this->address;
      co_return false;
    }
    aResponse = std::move(*text);
    co_return true;
  }

  bool Transport(const std::string& aRequest,
                 std::string& aResponse,
                 std::string& aError)
  {
    // Shared with the coroutine: after a timeout, the coroutine ends only when
    // its socket closes.
    struct Outcome
    {
      bool done = false;
      bool succeeded = false;
      std::string response;
    };
    const auto outcome = std::make_shared<Outcome>();
    this->reason = {};
    this->connected = false;
    this->context.restart();
    boost::asio::co_spawn(
      this->context,
      [this, outcome, aRequest]() -> Task<> {
        outcome->succeeded =
          co_await this->Exchange(aRequest, outcome->response);
        outcome->done = true;
      },
      [](std::exception_ptr) {});
    this->context.run_for(this->timeout);
    const bool timedOut = !outcome->done;
    if (!outcome->succeeded) {
      this->Close();
    }
    if (timedOut) {
      Fail(this->reason,
           this->connected ? ReasonCode::ResponseTimeout
                           : ReasonCode::ConnectTimeout,
           "no answer within " + std::to_string(ToSeconds(this->timeout)) +
             " s",
           this->address);
    }
    aResponse = std::move(outcome->response);
    aError = this->reason.ToString();
    return !timedOut && outcome->succeeded;
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->context.restart();
    this->context.run();
  }

  std::string address;
  Duration timeout;
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
  bool connected = false;
  FailureReason reason;
  JsonRpcClient rpc;
};

OperatorClient::OperatorClient(std::string aAddress, Duration aTimeout)
  : impl(std::make_unique<Impl>(std::move(aAddress), aTimeout))
{
}

OperatorClient::~OperatorClient() = default;

std::optional<std::string>
OperatorClient::Call(const std::string& aMethod,
                     const std::string& aParamsJson,
                     FailureReason& aReason)
{
  std::string result;
  JsonRpcError error;
  if (this->impl->rpc.Call(aMethod, aParamsJson, result, error)) {
    return result;
  }
  const FailureReason& transport = this->impl->reason;
  aReason = transport.code == ReasonCode::None ? ReasonOf(error) : transport;
  return std::nullopt;
}

bool
IsUnreachable(ReasonCode aCode)
{
  switch (aCode) {
    case ReasonCode::ConnectRefused:
    case ReasonCode::ConnectTimeout:
    case ReasonCode::ConnectionLostAfterWrite:
    case ReasonCode::ResponseTimeout:
      return true;
    default:
      return false;
  }
}

} // namespace wigeonwalk
