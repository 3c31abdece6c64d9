// State of a PeerTransport, shared by its coroutines.
#pragma once

#include "wigeonwalk/adapters/address/endpoint.h"
#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/message_memory.h"
#include "wigeonwalk/adapters/peer/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace wigeonwalk {

namespace peer_internal {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

// One TCP connection with a watchdog timer, which closes the socket when an
// operation takes too long, so that no coroutine waits forever for an
// unresponsive peer.
class Connection
{
public:
  explicit Connection(Tcp::socket aSocket);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Closes the socket after aTime unless Disarm is called first.
  void Arm(Duration aTime);
  void Disarm();
  void Close();
  bool TimedOut() const { return this->timedOut; }

  Tcp::socket socket;
  // For inbound connections: an authenticated frame has arrived, and the order
  // in which the connections were accepted.
  bool isProven = false;
  std::uint64_t number = 0;
  // For pooled connections: when the connection became idle.
  TimePoint idleSince;

private:
  boost::asio::steady_timer watchdog;
  std::shared_ptr<bool> armed;
  bool timedOut = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace peer_internal

struct PeerTransport::State
  : public std::enable_shared_from_this<PeerTransport::State>
{
  State(boost::asio::any_io_executor aExecutor,
        ClusterKey aKey,
        PeerTransportSettings aSettings);

  bool Listen(const std::string& aAddress, FailureReason& aReason);
  bool Open(const peer_internal::Tcp::endpoint& aEndpoint,
            FailureReason& aReason);
  void Stop();

  // Coroutines: one for the listener, one for all datagrams, and one for each
  // connection.
  Task<void> Accept();
  Task<void> ReceiveDatagrams();
  Task<void> ServeConnection(peer_internal::ConnectionPtr aConnection);

  // Serves one call. Returns false if the connection must be closed.
  Task<bool> ServeCall(peer_internal::Connection& aConnection);

  // Static, so that the coroutine frame shares ownership of the state from its
  // creation.
  static Task<std::optional<PeerAnswer>> Call(std::shared_ptr<State> aSelf,
                                              std::string aAddress,
                                              std::string aFrame,
                                              TimePoint aDeadline,
                                              FailureReason& aReason);
  Task<std::optional<PeerAnswer>> Exchange(
    peer_internal::ConnectionPtr aConnection,
    const std::string& aAddress,
    const std::string& aFrame,
    FailureReason& aReason);
  Task<peer_internal::ConnectionPtr> Connect(const std::string& aAddress,
                                             Duration aTime,
                                             FailureReason& aReason);
  peer_internal::ConnectionPtr TakeIdle(const std::string& aAddress);
  void KeepIdle(const std::string& aAddress,
                peer_internal::ConnectionPtr aConnection);

  // Closes idle connections that are too old to be reused.
  void PurgeIdle();

  // Makes room for another inbound connection. Returns false if there is none.
  bool AdmitConnection();
  // Returns the oldest inbound connection that is not proven, if there are too
  // many of them, else null.
  peer_internal::ConnectionPtr SurplusUnproven() const;

  // Reads the rest of a frame of the given size, whose header is in `aFrame`.
  Task<bool> ReadRest(peer_internal::Connection& aConnection,
                      std::size_t aSize,
                      std::string& aFrame,
                      FailureReason& aReason);

  // Reads one frame and returns its payload, or nothing with the reason.
  Task<std::optional<std::string>> ReadFrame(
    peer_internal::Connection& aConnection,
    FrameKind aKind,
    FailureReason& aReason);

  void HandleDatagram(std::string_view aFrame);
  void CountDropped(FrameFault aFault);

  boost::asio::any_io_executor executor;
  ClusterKey key;
  PeerTransportSettings settings;
  SystemTimer timer;
  PeerTransportCounters counters;
  // Frames that are being received.
  MessageMemory frames;
  OnDatagram onDatagram;
  OnCall onCall;
  peer_internal::Tcp::acceptor acceptor;
  peer_internal::Udp::socket datagrams;
  std::set<peer_internal::ConnectionPtr> serverConnections;
  std::uint64_t lastConnection = 0;
  std::set<peer_internal::ConnectionPtr> clientConnections;
  std::map<std::string, std::vector<peer_internal::ConnectionPtr>> idle;
  TimePoint lastPurge;
  bool stopped = false;
};

} // namespace wigeonwalk
