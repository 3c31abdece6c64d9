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

// Connects at the first call and keeps the connection. Never waits longer than
// the timeout for one call. One thread only, which must not be an I/O thread.
class OperatorClient
{
public:
  OperatorClient(std::string aAddress, Duration aTimeout);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  // Returns the result as JSON. On failure the reason is that of the daemon,
  // ConnectRefused, ConnectTimeout or ConnectionLostAfterWrite and
  // ResponseTimeout where it cannot be reached, or MalformedResponse.
  std::optional<std::string> Call(const std::string& aMethod,
                                  const std::string& aParamsJson,
                                  FailureReason& aReason);

private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

// True for reasons that say that no daemon could be reached, or that it went
// silent.
bool
IsUnreachable(ReasonCode aCode);

} // namespace wigeonwalk
