// A peer transport that is constructed before the cluster key is known and
// opened once it is.
//
//   DeferredTransport channel(executor);
//   channel.Open(key, "10.1.0.40:7700", handler, reason);
#pragma once

#include "wigeonwalk/adapters/peer/peer_transport.h"

#include <cstddef>
#include <optional>
#include <string>

namespace wigeonwalk {

// Satisfies PeerChannel. Until Open succeeds, datagrams are dropped and calls
// fail with Unavailable. Not thread-safe: used from one I/O thread only.
class DeferredTransport
{
public:
  explicit DeferredTransport(boost::asio::any_io_executor aExecutor)
    : executor(std::move(aExecutor))
  {
  }

  // Applies to a transport that is opened later.
  void SetMaxUnproven(std::size_t aConnections)
  {
    this->settings.maxUnproven = aConnections;
  }

  // Starts listening on "IP:port". Returns false with the reason on failure;
  // Open may then be called again.
  template<PeerHandler H>
  bool Open(ClusterKey aKey,
            const std::string& aAddress,
            H& aHandler,
            FailureReason& aReason)
  {
    this->transport.emplace(this->executor, std::move(aKey), this->settings);
    this->transport->Serve(aHandler);
    if (!this->transport->Listen(aAddress, aReason)) {
      this->transport.reset();
      return false;
    }
    return true;
  }

  bool IsOpen() const { return this->transport.has_value(); }

  void Send(const std::string& aAddress, const PeerDatagram& aDatagram)
  {
    if (this->transport) {
      this->transport->Send(aAddress, aDatagram);
    }
  }

  Task<std::optional<PeerAnswer>> Call(const std::string& aAddress,
                                       const PeerCall& aCall,
                                       TimePoint aDeadline,
                                       FailureReason& aReason)
  {
    if (!this->transport) {
      co_return Fail(
        aReason, ReasonCode::Unavailable, "the cluster key is not known yet");
    }
    co_return co_await this->transport->Call(
      aAddress, aCall, aDeadline, aReason);
  }

private:
  boost::asio::any_io_executor executor;
  PeerTransportSettings settings;
  std::optional<PeerTransport> transport;
};

static_assert(PeerChannel<DeferredTransport>);

} // namespace wigeonwalk
