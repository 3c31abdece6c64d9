#include "wigeonwalk/adapters/http/http_pool.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;

namespace {

// Returns true for the statuses that say that a request was not run.
bool
IsRefusal(unsigned aStatus)
{
  constexpr std::array<unsigned, 4> kRefusals{ 408, 421, 429, 503 };
  return std::find(kRefusals.begin(), kRefusals.end(), aStatus) !=
         kRefusals.end();
}

} // namespace

HttpPool::HttpPool(SystemTimer& aTimer,
                   asio::any_io_executor aExecutor,
                   Duration aMaxIdle)
  : timer(aTimer)
  , executor(std::move(aExecutor))
  , maxIdle(aMaxIdle)
{
}

HttpPool::~HttpPool() = default;

Task<std::optional<HttpClientConnection>>
HttpPool::Acquire(const std::string& aAddress,
                  Reuse aReuse,
                  TimePoint aDeadline,
                  FailureReason& aReason)
{
  auto& connections = this->idle[aAddress];
  this->CloseExpired(connections, this->timer.Now());
  while (aReuse == Reuse::Allowed && !connections.empty()) {
    Idle last = std::move(connections.back());
    connections.pop_back();
    if (this->timer.Now() < last.reusableUntil &&
        last.connection.IsOpenAndIdle()) {
      co_return std::move(last.connection);
    }
  }
  auto opened = co_await HttpClientConnection::Connect(
    this->timer, this->executor, aAddress, aDeadline, aReason);
  if (opened) {
    opened->LimitHeldBytes(this->heldMessages);
  }
  co_return opened;
}

void
HttpPool::Release(HttpClientConnection aConnection)
{
  if (!aConnection.Reusable()) {
    return;
  }
  FailureReason ignored;
  aConnection.Hold(0, ignored);
  auto& connections = this->idle[aConnection.Address()];
  const TimePoint now = this->timer.Now();
  const Duration keepAliveTimeout = aConnection.KeepAliveTimeout();
  // Only 3/4 of the peer's timeout is used, because it started to run before
  // the response arrived here.
  const TimePoint reusableUntil = keepAliveTimeout == Duration::max()
                                    ? TimePoint::max()
                                    : now + keepAliveTimeout * 3 / 4;
  connections.push_back({ std::move(aConnection), now, reusableUntil });
  this->CloseAllExpired(now);
  if (this->IdleCount() > this->maxIdleCount) {
    this->CloseLongestIdle();
  }
}

void
HttpPool::CloseExpired(std::vector<Idle>& aConnections, TimePoint aNow)
{
  const TimePoint oldest = aNow - this->maxIdle;
  std::erase_if(aConnections, [oldest](const Idle& aIdle) {
    return aIdle.idleSince < oldest;
  });
}

void
HttpPool::CloseAllExpired(TimePoint aNow)
{
  if (aNow < this->lookedAt + this->maxIdle) {
    return;
  }
  this->lookedAt = aNow;
  for (auto& [address, connections] : this->idle) {
    this->CloseExpired(connections, aNow);
  }
}

bool
HttpPool::CloseLongestIdle()
{
  std::vector<Idle>* longest = nullptr;
  for (auto& [address, connections] : this->idle) {
    if (!connections.empty() &&
        (longest == nullptr ||
         connections.front().idleSince < longest->front().idleSince)) {
      longest = &connections;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->erase(longest->begin());
  return true;
}

void
HttpPool::CloseIdle(const std::string& aAddress)
{
  this->idle.erase(aAddress);
}

std::size_t
HttpPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, connections] : this->idle) {
    count += connections.size();
  }
  return count;
}

Task<std::optional<HttpResponse>>
HttpPool::Exchange(const std::string& aAddress,
                   const HttpRequest& aRequest,
                   Reuse aReuse,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  auto connection =
    co_await this->Acquire(aAddress, aReuse, aDeadline, aReason);
  if (!connection || !co_await connection->Send(aRequest, aDeadline, aReason)) {
    co_return std::nullopt;
  }
  auto response = co_await connection->ReadResponse(aDeadline, aReason);
  if (response && !IsRefusal(response->status)) {
    this->Release(std::move(*connection));
  }
  co_return response;
}

} // namespace wigeonwalk
