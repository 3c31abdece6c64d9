#include "wigeonwalk/adapters/peer/peer_transport.h"

#include "wigeonwalk/adapters/peer/internal/transport_state.h"
#include "wigeonwalk/adapters/peer/peer_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonwalk {

using peer_internal::Connection;
using peer_internal::ConnectionPtr;
using peer_internal::Tcp;
using peer_internal::Udp;
using Error = boost::system::error_code;

static_assert(PeerChannel<PeerTransport>);

namespace {

// Bytes of each frame that don't count toward the memory of all: most frames
// are smaller.
constexpr std::size_t kUncountedFrameBytes = 8 * 1024;

std::string
FormatEndpoint(const Tcp::endpoint& aEndpoint)
{
  const std::string ip = aEndpoint.address().to_string();
  const std::string port = std::to_string(aEndpoint.port());
  return aEndpoint.address().is_v6() ? '[' + ip + "]:" + port : ip + ':' + port;
}

} // namespace

PeerTransport::PeerTransport(boost::asio::any_io_executor aExecutor,
                             ClusterKey aKey,
                             PeerTransportSettings aSettings)
  : state(
      std::make_shared<State>(std::move(aExecutor), std::move(aKey), aSettings))
{
}

PeerTransport::~PeerTransport()
{
  this->state->Stop();
}

void
PeerTransport::Serve(OnDatagram aOnDatagram, OnCall aOnCall)
{
  this->state->onDatagram = std::move(aOnDatagram);
  this->state->onCall = std::move(aOnCall);
}

bool
PeerTransport::Listen(const std::string& aAddress, FailureReason& aReason)
{
  return this->state->Listen(aAddress, aReason);
}

std::string
PeerTransport::LocalAddress() const
{
  Error error;
  return FormatEndpoint(this->state->acceptor.local_endpoint(error));
}

void
PeerTransport::Send(const std::string& aAddress, const PeerDatagram& aDatagram)
{
  State& shared = *this->state;
  FailureReason reason;
  const auto endpoint = ParseEndpoint(aAddress, reason);
  if (!endpoint || shared.stopped) {
    shared.counters.datagramsNotSent += 1;
    return;
  }
  constexpr std::size_t kMaxPayloadBytes =
    kMaxDatagramBytes - kFrameHeaderBytes - kFrameTagBytes;
  const std::string frame =
    SealFrame(shared.key,
              FrameKind::Datagram,
              EncodeDatagram(aDatagram, kMaxPayloadBytes));
  Error error;
  // The socket is non-blocking: if its send buffer is full, the datagram is
  // lost.
  shared.datagrams.send_to(boost::asio::buffer(frame),
                           Udp::endpoint(endpoint->address(), endpoint->port()),
                           0,
                           error);
  if (error) {
    shared.counters.datagramsNotSent += 1;
    return;
  }
  shared.counters.datagramsSent += 1;
  shared.counters.bytesSent += frame.size();
}

Task<std::optional<PeerAnswer>>
PeerTransport::Call(const std::string& aAddress,
                    const PeerCall& aCall,
                    TimePoint aDeadline,
                    FailureReason& aReason)
{
  std::string frame =
    SealFrame(this->state->key, FrameKind::Call, EncodeCall(aCall));
  return State::Call(
    this->state, aAddress, std::move(frame), aDeadline, aReason);
}

void
PeerTransport::Stop()
{
  this->state->Stop();
}

const PeerTransportCounters&
PeerTransport::Counters() const
{
  return this->state->counters;
}

PeerTransport::State::State(boost::asio::any_io_executor aExecutor,
                            ClusterKey aKey,
                            PeerTransportSettings aSettings)
  : executor(aExecutor)
  , key(std::move(aKey))
  , settings(aSettings)
  , timer(aExecutor)
  , frames(aSettings.maxFrameMemory, kUncountedFrameBytes, 0)
  , acceptor(aExecutor)
  , datagrams(aExecutor)
{
}

bool
PeerTransport::State::Listen(const std::string& aAddress,
                             FailureReason& aReason)
{
  const auto endpoint = ParseEndpoint(aAddress, aReason);
  if (!endpoint) {
    return false;
  }
  // A port chosen as free for TCP may be in use for UDP, hence the retries.
  const int attempts = endpoint->port() == 0 ? 10 : 1;
  bool opened = false;
  for (int i = 0; i < attempts && !opened; ++i) {
    opened = this->Open(*endpoint, aReason);
  }
  if (!opened) {
    return false;
  }
  // The lambdas keep the state alive until their coroutines end, even if the
  // transport is destroyed before they start.
  const auto self = this->shared_from_this();
  boost::asio::co_spawn(
    this->executor,
    [self]() -> Task<void> { co_await self->Accept(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    this->executor,
    [self]() -> Task<void> { co_await self->ReceiveDatagrams(); },
    boost::asio::detached);
  return true;
}

bool
PeerTransport::State::Open(const Tcp::endpoint& aEndpoint,
                           FailureReason& aReason)
{
  Error error;
  this->acceptor = Tcp::acceptor(this->executor);
  this->datagrams = Udp::socket(this->executor);
  this->acceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(aEndpoint, error);
  }
  if (!error) {
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  }
  Tcp::endpoint bound;
  if (!error) {
    bound = this->acceptor.local_endpoint(error);
  }
  if (!error) {
    const Udp::endpoint udpEndpoint(bound.address(), bound.port());
    this->datagrams.open(udpEndpoint.protocol(), error);
    if (!error) {
      this->datagrams.bind(udpEndpoint, error);
    }
    if (!error) {
      this->datagrams.non_blocking(true, error);
    }
  }
  if (error) {
    Fail(aReason,
         ReasonCode::Unavailable,
         error.message(),
         FormatEndpoint(aEndpoint));
  }
  return !error;
}

void
PeerTransport::State::Stop()
{
  this->stopped = true;
  Error ignored;
  this->acceptor.close(ignored);
  this->datagrams.close(ignored);
  for (const auto& connections :
       { this->serverConnections, this->clientConnections }) {
    for (const ConnectionPtr& connection : connections) {
      connection->Close();
    }
  }
  this->idle.clear();
}

Task<void>
PeerTransport::State::Accept()
{
  while (!this->stopped) {
    Error error;
    Tcp::socket socket = co_await this->acceptor.async_accept(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (this->stopped) {
      co_return;
    }
    if (error) {
      // For example out of file descriptors: waits until connections have
      // ended.
      co_await this->timer.WaitUntil(this->timer.Now() +
                                     std::chrono::milliseconds(100));
      continue;
    }
    if (!this->AdmitConnection()) {
      this->counters.connectionsRefused += 1;
      continue;
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->number = ++this->lastConnection;
    this->serverConnections.insert(connection);
    boost::asio::co_spawn(
      this->executor,
      [self = this->shared_from_this(), connection]() -> Task<void> {
        co_await self->ServeConnection(connection);
      },
      boost::asio::detached);
  }
}

bool
PeerTransport::State::AdmitConnection()
{
  if (const ConnectionPtr surplus = this->SurplusUnproven()) {
    this->counters.connectionsRefused += 1;
    this->serverConnections.erase(surplus);
    surplus->Close();
  }
  return this->serverConnections.size() < this->settings.maxConnections;
}

ConnectionPtr
PeerTransport::State::SurplusUnproven() const
{
  ConnectionPtr oldest;
  std::size_t unproven = 0;
  for (const ConnectionPtr& connection : this->serverConnections) {
    if (connection->isProven) {
      continue;
    }
    ++unproven;
    if (oldest == nullptr || connection->number < oldest->number) {
      oldest = connection;
    }
  }
  return unproven >= this->settings.maxUnproven ? oldest : nullptr;
}

Task<void>
PeerTransport::State::ReceiveDatagrams()
{
  // One byte more than the limit, to detect datagrams that exceed it.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  while (!this->stopped) {
    Udp::endpoint from;
    Error error;
    const std::size_t size = co_await this->datagrams.async_receive_from(
      boost::asio::buffer(buffer),
      from,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (!error) {
      this->HandleDatagram(std::string_view(buffer.data(), size));
    } else if (!this->stopped) {
      co_await this->timer.WaitUntil(this->timer.Now() +
                                     std::chrono::milliseconds(10));
    }
  }
}

void
PeerTransport::State::HandleDatagram(std::string_view aFrame)
{
  this->counters.bytesReceived += aFrame.size();
  if (aFrame.size() > kMaxDatagramBytes) {
    this->CountDropped(FrameFault::TooLarge);
    return;
  }
  FrameFault fault = FrameFault::NotAFrame;
  const auto payload = OpenFrame(this->key, FrameKind::Datagram, aFrame, fault);
  if (!payload) {
    this->CountDropped(fault);
    return;
  }
  const auto datagram = DecodeDatagram(*payload);
  if (!datagram) {
    this->CountDropped(FrameFault::Malformed);
    return;
  }
  this->counters.datagramsReceived += 1;
  if (this->onDatagram) {
    this->onDatagram(*datagram);
  }
}

void
PeerTransport::State::CountDropped(FrameFault aFault)
{
  this->counters.dropped[static_cast<std::size_t>(aFault)] += 1;
}

} // namespace wigeonwalk
