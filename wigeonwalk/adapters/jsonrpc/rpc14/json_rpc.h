// JSON-RPC 2.0 on top of libjsonrpccpp, without exposing its types. Valid
// C++14.
//
//   JsonRpcServer server({ "status" });
//   std::string response = server.HandleRequest(request,
//     [](const std::string&, const std::string&, std::string& aResult,
//        JsonRpcError&) { aResult = "{}"; return true; });
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwalk {

// Codes of JSON-RPC 2.0, section 5.1, and of the library's client.
enum class JsonRpcCode
{
  ParseError = -32700,
  InvalidRequest = -32600,
  MethodNotFound = -32601,
  InvalidParams = -32602,
  InternalError = -32603,
  // The operation was refused; the error data gives the reason.
  Refused = -32000,
  TransportFailed = -32003,
  InvalidResponse = -32001,
};

// The error of a call. The data is JSON or empty.
struct JsonRpcError
{
  int code = 0;
  std::string message;
  std::string dataJson;
};

// Handles one call: sets the result as JSON and returns true, or sets the error
// and returns false.
using JsonRpcHandler = std::function<bool(const std::string& aMethod,
                                          const std::string& aParamsJson,
                                          std::string& aResultJson,
                                          JsonRpcError& aError)>;

// Sends a request and waits for its response. On failure, returns false and
// sets a human-readable error.
using JsonRpcTransport = std::function<bool(const std::string& aRequest,
                                            std::string& aResponse,
                                            std::string& aError)>;

// The server side: decodes requests and batches, and encodes responses. Not
// thread-safe.
class JsonRpcServer
{
public:
  explicit JsonRpcServer(const std::vector<std::string>& aMethods);
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  // Returns the response to a request, valid or not. The handler is called for
  // each call of a known method with an object as parameters.
  std::string HandleRequest(const std::string& aRequest,
                            const JsonRpcHandler& aHandler);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// The client side. Not thread-safe.
class JsonRpcClient
{
public:
  explicit JsonRpcClient(JsonRpcTransport aTransport);
  ~JsonRpcClient();
  JsonRpcClient(const JsonRpcClient&) = delete;
  JsonRpcClient& operator=(const JsonRpcClient&) = delete;

  // Calls a method with a JSON object as parameters. On failure, returns false
  // and sets the error.
  bool Call(const std::string& aMethod,
            const std::string& aParamsJson,
            std::string& aResultJson,
            JsonRpcError& aError);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace wigeonwalk
