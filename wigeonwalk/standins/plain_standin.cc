#include "wigeonwalk/standins/plain_standin.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"
#include "wigeonwalk/standins/accept_loop.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace wigeonwalk {

PlainStandin::PlainStandin(std::string aAddress,
                           boost::asio::any_io_executor aExecutor)
  : address(std::move(aAddress))
  , executor(std::move(aExecutor))
{
}

Task<void>
PlainStandin::Run(FailureReason& aReason)
{
  const auto serve = [this](HttpConnection aConnection) {
    return this->ServeConnection(std::move(aConnection));
  };
  co_await AcceptAll(this->executor, this->address, serve, aReason);
}

Task<void>
PlainStandin::ServeConnection(HttpConnection aConnection)
{
  while (true) {
    FailureReason reason;
    const auto request = co_await aConnection.ReadRequest(reason);
    if (!request) {
      co_return;
    }
    HttpResponse response;
    if (request->target == "/standin/fault") {
      const auto wanted = ParseName<PlainFault>(request->body);
      this->fault = wanted.value_or(this->fault);
      response.status = wanted ? 200 : 400;
    } else if (request->target == "/standin/runs") {
      response = this->RunCounts();
    } else if (this->fault == PlainFault::Refuse) {
      response.status = 503;
      response.headers.push_back({ std::string(kNotRunHeader), "true" });
    } else {
      response = this->RunCall(*request);
      if (this->fault == PlainFault::LoseAnswer) {
        aConnection.Close();
        co_return;
      }
      if (this->fault == PlainFault::Silent) {
        co_await aConnection.WaitClosed();
        co_return;
      }
    }
    if (!co_await aConnection.WriteResponse(std::move(response),
                                            request->keepAlive) ||
        !request->keepAlive) {
      co_return;
    }
  }
}

HttpResponse
PlainStandin::RunCall(const HttpRequest& aRequest)
{
  const std::string key(FindHeader(aRequest.headers, "Idempotency-Key"));
  const std::uint64_t count = ++this->runs[key.empty() ? "no-key" : key];
  HttpResponse response;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body =
    nlohmann::json{ { "target", aRequest.target }, { "run", count } }.dump();
  return response;
}

HttpResponse
PlainStandin::RunCounts() const
{
  HttpResponse response;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = nlohmann::json(this->runs).dump();
  return response;
}

} // namespace wigeonwalk
