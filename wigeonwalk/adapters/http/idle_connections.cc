#include "wigeonwalk/adapters/http/idle_connections.h"

namespace wigeonwalk {

Task<bool>
IdleConnections::Wait(HttpConnection& aConnection,
                      CountedConnection& aCounted,
                      FailureReason& aReason)
{
  const std::uint64_t place = ++this->lastIdle;
  this->idle.emplace(place, Idle{ &aConnection, &aCounted });
  const bool arrived = co_await aConnection.WaitForRequest(aReason);
  this->idle.erase(place);
  co_return arrived;
}

std::optional<std::string>
IdleConnections::CloseLongest()
{
  for (const auto& [place, entry] : this->idle) {
    std::string peer = entry.connection->PeerAddress();
    if (entry.connection->CloseIfIdle()) {
      entry.counted->Release();
      this->idle.erase(place);
      return peer;
    }
  }
  return std::nullopt;
}

void
IdleConnections::StopWaiting()
{
  const auto waiting = this->idle;
  for (const auto& [place, entry] : waiting) {
    entry.connection->StopWaiting();
  }
}

} // namespace wigeonwalk
