// Transport between daemons: datagrams over UDP and calls over TCP, both in
// authenticated frames and on the same port number.
//
//   PeerTransport transport(context.get_executor(), key);
//   transport.Serve(handler);
//   if (transport.Listen("127.0.0.1:7000", reason)) { context.run(); }
#pragma once

#include "wigeonwalk/adapters/peer/peer_frame.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/peer_channel.h"

#include <boost/asio/any_io_executor.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwalk {

// Limits of the transport.
struct PeerTransportSettings
{
  // Maximum number of inbound connections. At the target cluster size, each
  // other daemon opens about three.
  std::size_t maxConnections = 1'000;
  // Maximum number of inbound connections on which no authenticated frame has
  // arrived. Beyond it the oldest of them is closed.
  std::size_t maxUnproven = 128;
  // Limit on the memory of all inbound frames that are being received. Beyond
  // it the connection of the largest one is closed. Fits some of the largest
  // calls.
  std::size_t maxFrameMemory = 16 * 1024 * 1024;
  // A server closes a connection that has had no call for this long. A client
  // stops reusing an idle connection after a third of this time.
  Duration idleTimeout = std::chrono::seconds(60);
  // Longest time to read the rest of a frame once its header has arrived, and
  // to write an answer.
  Duration frameTimeout = std::chrono::seconds(10);
  // Maximum number of idle connections kept open to one daemon.
  std::size_t idlePerPeer = 2;
};

// Counters since the start, for metrics. Byte counts include the framing but
// not the headers of UDP, TCP and IP.
struct PeerTransportCounters
{
  std::uint64_t datagramsSent = 0;
  std::uint64_t datagramsReceived = 0;
  std::uint64_t datagramsNotSent = 0;
  std::uint64_t callsSent = 0;
  std::uint64_t callsServed = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t connectionsRefused = 0;
  // Dropped frames, indexed by FrameFault.
  std::array<std::uint64_t, EnumNames<FrameFault>::kTable.size()> dropped{};
};

// A frame that is unauthenticated, too large or malformed is dropped and
// counted, and its TCP connection is closed. Replayed frames are accepted, so
// all messages are idempotent. Not thread-safe: used from one I/O thread only.
class PeerTransport
{
public:
  using OnDatagram = std::function<void(const PeerDatagram&)>;
  using OnCall = std::function<Task<std::optional<PeerAnswer>>(PeerCall)>;

  PeerTransport(boost::asio::any_io_executor aExecutor,
                ClusterKey aKey,
                PeerTransportSettings aSettings = {});
  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Sets the handler of incoming datagrams and calls. Call before Listen.
  template<PeerHandler H>
  void Serve(H& aHandler)
  {
    this->Serve(
      [&aHandler](const PeerDatagram& aDatagram) {
        aHandler.OnDatagram(aDatagram);
      },
      [&aHandler](PeerCall aCall) { return aHandler.OnCall(aCall); });
  }
  void Serve(OnDatagram aOnDatagram, OnCall aOnCall);

  // Listens on "IP:port" for TCP and UDP. Port 0 selects a port that is free
  // for both. Returns false with the reason on failure.
  bool Listen(const std::string& aAddress, FailureReason& aReason);

  // The address in use, as "IP:port".
  std::string LocalAddress() const;

  // Sends a datagram from the listening port, so Listen must have succeeded.
  // Delivery is not guaranteed.
  void Send(const std::string& aAddress, const PeerDatagram& aDatagram);

  // Sends a call and returns its answer, or nothing with the reason, which says
  // how far the call got. Reuses idle connections.
  Task<std::optional<PeerAnswer>> Call(const std::string& aAddress,
                                       const PeerCall& aCall,
                                       TimePoint aDeadline,
                                       FailureReason& aReason);

  // Closes the listeners and all connections. Calls in progress fail with
  // Cancelled.
  void Stop();

  const PeerTransportCounters& Counters() const;

private:
  struct State;

  std::shared_ptr<State> state;
};

} // namespace wigeonwalk
