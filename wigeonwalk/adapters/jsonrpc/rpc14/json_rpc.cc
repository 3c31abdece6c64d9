#include "wigeonwalk/adapters/jsonrpc/rpc14/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <utility>

namespace wigeonwalk {

namespace {

std::string
Print(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool
Parse(const std::string& aText, Json::Value& aValue)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    return reader->parse(
      aText.data(), aText.data() + aText.size(), &aValue, &errors);
  } catch (const Json::Exception&) {
    // The reader throws if the nesting exceeds its limit.
    return false;
  }
}

JsonRpcError
ErrorOf(const jsonrpc::JsonRpcException& aException)
{
  JsonRpcError error;
  error.code = aException.GetCode();
  error.message = aException.GetMessage();
  if (!aException.GetData().isNull()) {
    error.dataJson = Print(aException.GetData());
  }
  return error;
}

int
CodeOf(JsonRpcCode aCode)
{
  return static_cast<int>(aCode);
}

std::string
PrintError(JsonRpcCode aCode, const std::string& aMessage)
{
  Json::Value response;
  response["jsonrpc"] = "2.0";
  response["id"] = Json::Value();
  response["error"]["code"] = CodeOf(aCode);
  response["error"]["message"] = aMessage;
  return Print(response);
}

// Passes the library's calls to the handler of the current request.
class Invoker : public jsonrpc::IProcedureInvokationHandler
{
public:
  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    if (!aInput.isNull() && !aInput.isObject()) {
      throw jsonrpc::JsonRpcException(CodeOf(JsonRpcCode::InvalidParams),
                                      "parameters must be a JSON object");
    }
    const std::string params = aInput.isNull() ? "{}" : Print(aInput);
    std::string result;
    JsonRpcError error;
    if (!(*this->handler)(
          aProcedure.GetProcedureName(), params, result, error)) {
      Json::Value data;
      Parse(error.dataJson, data);
      throw jsonrpc::JsonRpcException(error.code, error.message, data);
    }
    if (!Parse(result, aOutput)) {
      throw jsonrpc::JsonRpcException(CodeOf(JsonRpcCode::InternalError),
                                      "the result is not valid JSON");
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
  {
  }

  const JsonRpcHandler* handler = nullptr;
};

// Stores the response of the protocol handler. It opens no listener; requests
// are passed to OnRequest directly.
class ServerConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void*) override
  {
    this->response = aResponse;
    return true;
  }

  std::string response;
};

class ClientConnector : public jsonrpc::IClientConnector
{
public:
  explicit ClientConnector(JsonRpcTransport aTransport)
    : transport(std::move(aTransport))
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    std::string error;
    if (!this->transport(aMessage, aResult, error)) {
      throw jsonrpc::JsonRpcException(CodeOf(JsonRpcCode::TransportFailed),
                                      error);
    }
  }

private:
  JsonRpcTransport transport;
};

} // namespace

struct JsonRpcServer::Impl
{
  Invoker invoker;
  ServerConnector connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

JsonRpcServer::JsonRpcServer(const std::vector<std::string>& aMethods)
  : impl(new Impl)
{
  this->impl->protocol.reset(
    jsonrpc::RequestHandlerFactory::createProtocolHandler(
      jsonrpc::JSONRPC_SERVER_V2, this->impl->invoker));
  this->impl->connector.SetHandler(this->impl->protocol.get());
  for (const auto& method : aMethods) {
    this->impl->protocol->AddProcedure(jsonrpc::Procedure(
      method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
  }
}

JsonRpcServer::~JsonRpcServer() = default;

std::string
JsonRpcServer::HandleRequest(const std::string& aRequest,
                             const JsonRpcHandler& aHandler)
{
  this->impl->invoker.handler = &aHandler;
  this->impl->connector.response.clear();
  try {
    this->impl->connector.OnRequest(aRequest);
  } catch (const std::exception&) {
    // The library does not catch the reader's exceptions, such as the one for
    // nesting beyond its limit.
    return PrintError(JsonRpcCode::ParseError, "not a JSON-RPC request");
  }
  return this->impl->connector.response;
}

struct JsonRpcClient::Impl
{
  explicit Impl(JsonRpcTransport aTransport)
    : connector(std::move(aTransport))
    , client(this->connector, jsonrpc::JSONRPC_CLIENT_V2)
  {
  }

  ClientConnector connector;
  jsonrpc::Client client;
};

JsonRpcClient::JsonRpcClient(JsonRpcTransport aTransport)
  : impl(new Impl(std::move(aTransport)))
{
}

JsonRpcClient::~JsonRpcClient() = default;

bool
JsonRpcClient::Call(const std::string& aMethod,
                    const std::string& aParamsJson,
                    std::string& aResultJson,
                    JsonRpcError& aError)
{
  Json::Value params;
  if (!Parse(aParamsJson, params)) {
    aError.code = CodeOf(JsonRpcCode::InvalidParams);
    aError.message = "the parameters are not valid JSON";
    return false;
  }
  try {
    Json::Value result;
    this->impl->client.CallMethod(aMethod, params, result);
    aResultJson = Print(result);
    return true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    aError = ErrorOf(exception);
  } catch (const std::exception&) {
    aError.code = CodeOf(JsonRpcCode::InvalidResponse);
    aError.message = "the response is not valid JSON-RPC";
  }
  return false;
}

} // namespace wigeonwalk
