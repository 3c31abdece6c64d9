// The channel between daemons: UDP datagrams and calls over TCP, both in
// authenticated frames, on one port.
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
  // Connections that other daemons hold to this one, about three each at the
  // target size.
  std::size_t maxConnections = 1'000;
  // A connection without a call for this long is closed by its server, and not
  // used again by its client after a third of it.
  Duration idleTimeout = std::chrono::seconds(60);
  // Longest time from the first byte of a frame to its last, and for writing an
  // answer.
  Duration frameTimeout = std::chrono::seconds(10);
  // Idle connections that are kept to one daemon.
  std::size_t idlePerPeer = 2;
};

// Counts since the start, for metrics. Bytes include frames but not the
// headers of UDP, TCP and IP.
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
  // Dropped frames by fault.
  std::array<std::uint64_t, EnumNames<FrameFault>::kTable.size()> dropped{};
};

// A frame that is not authentic, too large or malformed is dropped and counted,
// and its connection closed. A replayed frame is authentic: messages are such
// that a second copy changes nothing. One I/O thread only.
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

  // Sets who takes datagrams and calls. Call before Listen.
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

  // Opens "IP:port" for TCP and UDP; port 0 chooses one that is free for both.
  bool Listen(const std::string& aAddress, FailureReason& aReason);

  // "IP:port" as opened.
  std::string LocalAddress() const;

  // Needs Listen before, because datagrams leave from the listener's port.
  void Send(const std::string& aAddress, const PeerDatagram& aDatagram);

  Task<std::optional<PeerAnswer>> Call(const std::string& aAddress,
                                       const PeerCall& aCall,
                                       TimePoint aDeadline,
                                       FailureReason& aReason);

  // Closes the listeners and all connections; open calls end as Cancelled.
  void Stop();

  const PeerTransportCounters& Counters() const;

private:
  struct State;

  std::shared_ptr<State> state;
};

} // namespace wigeonwalk
