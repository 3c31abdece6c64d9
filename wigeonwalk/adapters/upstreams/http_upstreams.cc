#include "wigeonwalk/adapters/upstreams/http_upstreams.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <utility>

namespace wigeonwalk {

HttpPlainService::HttpPlainService(HttpPool& aPool, std::string aAddress)
  : pool(aPool)
  , address(std::move(aAddress))
{
}

Task<std::optional<PlainResponse>>
HttpPlainService::Call(const PlainRequest& aRequest,
                       TimePoint aDeadline,
                       FailureReason& aReason)
{
  HttpRequest request;
  request.method = aRequest.method;
  request.target = aRequest.target;
  request.body = aRequest.body;
  request.headers.push_back({ "X-Attempt-Id", aRequest.attempt.ToString() });
  if (!aRequest.contentType.empty()) {
    request.headers.push_back({ "Content-Type", aRequest.contentType });
  }
  Reuse reuse = Reuse::Allowed;
  if (!aRequest.idempotencyKey.empty()) {
    request.headers.push_back({ "Idempotency-Key", aRequest.idempotencyKey });
    reuse = Reuse::FreshOnly;
  }
  auto response = co_await this->pool.Exchange(
    this->address, request, reuse, aDeadline, aReason);
  if (!response) {
    co_return std::nullopt;
  }
  if (!FindHeader(response->headers, kNotRunHeader).empty()) {
    co_return Fail(aReason,
                   ReasonCode::RefusedBeforeRun,
                   "the service refused the call before it ran",
                   this->address);
  }
  PlainResponse answer;
  answer.attempt = aRequest.attempt;
  answer.status = response->status;
  answer.contentType =
    std::string(FindHeader(response->headers, "Content-Type"));
  answer.body = std::move(response->body);
  co_return answer;
}

HttpUpstreams::HttpUpstreams(HttpPool& aPool)
  : pool(aPool)
{
}

HttpUpstreams::Engine&
HttpUpstreams::EngineOf(const RunnerSpec& aRunner)
{
  return this->engines.try_emplace(aRunner.address, this->pool, aRunner.address)
    .first->second;
}

HttpUpstreams::Service&
HttpUpstreams::ServiceOf(const RunnerSpec& aRunner)
{
  return this->services
    .try_emplace(aRunner.address, this->pool, aRunner.address)
    .first->second;
}

HttpUpstreams::Store&
HttpUpstreams::StoreOf(const StoreSpec& aStore)
{
  return this->stores.try_emplace(aStore.address, this->pool, aStore.address)
    .first->second;
}

} // namespace wigeonwalk
