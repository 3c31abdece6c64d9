// A blocking client of a daemon's operator listener, for the command line.
//
//   OperatorClient client("127.0.0.1:9100", std::chrono::seconds(5));
//   auto status = client.Call("status", "{}", reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/time.h"

#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// Connects at the first call and reuses the connection. A call waits at most
// for the timeout. Not thread-safe, and not for I/O threads, as calls block.
class OperatorClient
{
public:
  OperatorClient(std::string aAddress, Duration aTimeout);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  // Returns the result as JSON. On failure, returns nothing and sets the
  // reason: that of the daemon; ConnectRefused, ConnectTimeout,
  // ConnectionLostAfterWrite or ResponseTimeout if the daemon cannot be
  // reached; or MalformedResponse.
  std::optional<std::string> Call(const std::string& aMethod,
                                  const std::string& aParamsJson,
                                  FailureReason& aReason);

private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

// Returns true for reasons that mean that the daemon could not be reached or
// stopped responding.
bool
IsUnreachable(ReasonCode aCode);

} // namespace wigeonwalk
