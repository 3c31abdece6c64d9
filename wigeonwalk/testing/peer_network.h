// A simulated network between daemons in virtual time, with delay, loss,
// partitions and paused endpoints.
//
//   PeerNetwork network(time, 7);
//   PeerNetwork::Endpoint& endpoint = network.Add("10.0.0.1:7000", "south");
//   endpoint.onDatagram = [&](const PeerDatagram& aDatagram) {
//     detector.OnDatagram(aDatagram);
//   };
//   FakePeerChannel channel(network, endpoint);
#pragma once

#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace wigeonwalk {

// Delay, jitter and loss of the link from one group of endpoints to another.
// `loss` is the probability that a datagram or segment is lost.
struct LinkSettings
{
  Duration delay = std::chrono::milliseconds(1);
  Duration jitter = std::chrono::microseconds(500);
  double loss = 0;
};

// Delivers datagrams and calls between endpoints. Each endpoint belongs to a
// group (a zone); links and partitions are between groups. One thread only.
class PeerNetwork
{
public:
  struct Traffic
  {
    std::uint64_t datagrams = 0;
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
  };

  struct Endpoint
  {
    std::string address;
    std::string group;
    // A dead endpoint neither receives nor sends.
    bool alive = true;
    TimePoint pausedUntil;
    // Datagrams queued during a pause, up to kMaxWaiting. Further ones are
    // lost, as in a full socket buffer.
    std::size_t waiting = 0;
    std::function<void(const PeerDatagram&)> onDatagram;
    std::function<Task<std::optional<PeerAnswer>>(PeerCall)> onCall;
    Traffic sent;
    Traffic received;
  };

  static constexpr std::size_t kMaxWaiting = 256;

  // Encode a message, decode it again and add its encoded size in bytes to the
  // second argument. Where unset, messages are passed unchanged and count no
  // bytes.
  std::function<PeerDatagram(const PeerDatagram&, std::uint64_t&)>
    transcodeDatagram;
  std::function<PeerCall(const PeerCall&, std::uint64_t&)> transcodeCall;
  std::function<PeerAnswer(const PeerAnswer&, std::uint64_t&)> transcodeAnswer;

  PeerNetwork(VirtualTime& aTime, std::uint64_t aSeed);

  // Adds an endpoint. An endpoint that exists at the address is reused: its
  // group is replaced and it is alive again. The reference stays valid.
  Endpoint& Add(const std::string& aAddress, const std::string& aGroup);

  void SetDefaultLink(LinkSettings aLink) { this->defaultLink = aLink; }
  void SetLink(const std::string& aFrom,
               const std::string& aTo,
               LinkSettings aLink);

  // Cuts or restores both directions between two groups.
  void SetCut(const std::string& aOne, const std::string& aOther, bool aCut);

  void Send(Endpoint& aFrom, const std::string& aTo, const PeerDatagram&);
  Task<std::optional<PeerAnswer>> Call(Endpoint& aFrom,
                                       const std::string& aTo,
                                       const PeerCall& aCall,
                                       TimePoint aDeadline,
                                       FailureReason& aReason);

private:
  Task<void> Deliver(Endpoint& aTo, PeerDatagram aDatagram, Duration aDelay);
  Task<void> WaitWhilePaused(Endpoint& aEndpoint);
  const LinkSettings& LinkOf(const Endpoint& aFrom, const Endpoint& aTo) const;
  bool IsCut(const Endpoint& aFrom, const Endpoint& aTo) const;
  Duration Delay(const LinkSettings& aLink, bool aResend);

  VirtualTime& time;
  std::mt19937_64 random;
  LinkSettings defaultLink;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::pair<std::string, std::string>, LinkSettings> links;
  std::set<std::pair<std::string, std::string>> cuts;
};

// The peer channel of one endpoint.
class FakePeerChannel
{
public:
  FakePeerChannel(PeerNetwork& aNetwork, PeerNetwork::Endpoint& aEndpoint)
    : network(aNetwork)
    , endpoint(aEndpoint)
  {
  }

  void Send(const std::string& aAddress, const PeerDatagram& aDatagram)
  {
    this->network.Send(this->endpoint, aAddress, aDatagram);
  }

  Task<std::optional<PeerAnswer>> Call(const std::string& aAddress,
                                       const PeerCall& aCall,
                                       TimePoint aDeadline,
                                       FailureReason& aReason)
  {
    return this->network.Call(
      this->endpoint, aAddress, aCall, aDeadline, aReason);
  }

private:
  PeerNetwork& network;
  PeerNetwork::Endpoint& endpoint;
};

static_assert(PeerChannel<FakePeerChannel>);

// The timer of an endpoint. Its waits do not return while the endpoint is
// paused.
class EndpointTimer
{
public:
  EndpointTimer(VirtualTime& aTime, const PeerNetwork::Endpoint& aEndpoint)
    : time(aTime)
    , endpoint(aEndpoint)
  {
  }

  TimePoint Now() const { return this->time.Now(); }

  Task<void> WaitUntil(TimePoint aTime)
  {
    co_await this->time.WaitUntil(aTime);
    while (this->endpoint.pausedUntil > this->time.Now()) {
      co_await this->time.WaitUntil(this->endpoint.pausedUntil);
    }
  }

private:
  VirtualTime& time;
  const PeerNetwork::Endpoint& endpoint;
};

static_assert(Timer<EndpointTimer>);
static_assert(TaskSpawner<VirtualTime>);

} // namespace wigeonwalk
