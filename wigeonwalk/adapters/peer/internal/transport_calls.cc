// Calls over TCP connections: client side and server side.
#include "wigeonwalk/adapters/peer/internal/transport_state.h"
#include "wigeonwalk/adapters/peer/peer_codec.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wigeonwalk {

using peer_internal::Connection;
using peer_internal::ConnectionPtr;
using peer_internal::Tcp;
using Error = boost::system::error_code;

namespace peer_internal {

Connection::Connection(Tcp::socket aSocket)
  : socket(std::move(aSocket))
  , watchdog(this->socket.get_executor())
{
}

Connection::~Connection()
{
  this->Disarm();
}

void
Connection::Arm(Duration aTime)
{
  this->Disarm();
  this->armed = std::make_shared<bool>(true);
  this->watchdog.expires_after(aTime);
  // The callback may run after Disarm or after the connection is destroyed, so
  // it checks the shared flag before it uses `this`.
  this->watchdog.async_wait([this, active = this->armed](const Error& aError) {
    if (!aError && *active) {
      this->timedOut = true;
      this->Close();
    }
  });
}

void
Connection::Disarm()
{
  if (this->armed) {
    *this->armed = false;
  }
  this->watchdog.cancel();
}

void
Connection::Close()
{
  Error ignored;
  this->socket.close(ignored);
}

} // namespace peer_internal

Task<void>
PeerTransport::State::ServeConnection(ConnectionPtr aConnection)
{
  Error ignored;
  aConnection->socket.set_option(Tcp::no_delay(true), ignored);
  while (!this->stopped && co_await this->ServeCall(*aConnection)) {
  }
  aConnection->Disarm();
  aConnection->Close();
  this->serverConnections.erase(aConnection);
}

Task<bool>
PeerTransport::State::ServeCall(Connection& aConnection)
{
  aConnection.Arm(this->settings.idleTimeout);
  FailureReason reason;
  const auto payload =
    co_await this->ReadFrame(aConnection, FrameKind::Call, reason);
  if (!payload) {
    co_return false;
  }
  const auto call = DecodeCall(*payload);
  if (!call) {
    this->CountDropped(FrameFault::Malformed);
    co_return false;
  }
  // No timeout while the handler runs: it has its own deadlines.
  aConnection.Disarm();
  if (!this->onCall) {
    co_return false;
  }
  const auto answer = co_await this->onCall(*call);
  if (!answer || this->stopped) {
    co_return false;
  }
  const std::string frame =
    SealFrame(this->key, FrameKind::Answer, EncodeAnswer(*answer));
  aConnection.Arm(this->settings.frameTimeout);
  Error error;
  co_await boost::asio::async_write(
    aConnection.socket,
    boost::asio::buffer(frame),
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  this->counters.callsServed += 1;
  this->counters.bytesSent += frame.size();
  co_return !error;
}

// Takes memory only for bytes that have arrived: the header, which says how
// many there are, is not authenticated before the tag at the end is.
Task<bool>
PeerTransport::State::ReadRest(Connection& aConnection,
                               std::size_t aSize,
                               std::string& aFrame,
                               FailureReason& aReason)
{
  constexpr std::size_t kReadBytes = 64 * 1024;
  MessageMemory::Share held(this->frames,
                            [&aConnection] { aConnection.Close(); });
  while (aFrame.size() < aSize) {
    const std::size_t have = aFrame.size();
    aFrame.resize(std::min(aSize, have + kReadBytes));
    const bool isHeld = held.Resize(aFrame.capacity(), this->timer.Now());
    if (!isHeld) {
      Fail(aReason,
           ReasonCode::TooLarge,
           "largest of the frames that are being received, which together "
           "exceed the limit");
      co_return false;
    }
    Error error;
    const std::size_t read = co_await aConnection.socket.async_read_some(
      boost::asio::buffer(aFrame.data() + have, aFrame.size() - have),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    aFrame.resize(have + read);
    if (error) {
      Fail(aReason, ReasonCode::ConnectionLostAfterWrite, error.message());
      co_return false;
    }
  }
  co_return true;
}

Task<std::optional<std::string>>
PeerTransport::State::ReadFrame(Connection& aConnection,
                                FrameKind aKind,
                                FailureReason& aReason)
{
  std::string frame(kFrameHeaderBytes, '\0');
  Error error;
  co_await boost::asio::async_read(
    aConnection.socket,
    boost::asio::buffer(frame),
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  if (error) {
    co_return Fail(
      aReason, ReasonCode::ConnectionLostAfterWrite, error.message());
  }
  FrameFault fault = FrameFault::NotAFrame;
  const auto length = ReadFrameHeader(aKind, frame, fault);
  if (length) {
    if (aKind == FrameKind::Call) {
      aConnection.Arm(this->settings.frameTimeout);
    }
    const std::size_t size = kFrameHeaderBytes + *length + kFrameTagBytes;
    const bool isRead =
      co_await this->ReadRest(aConnection, size, frame, aReason);
    if (!isRead) {
      co_return std::nullopt;
    }
    this->counters.bytesReceived += frame.size();
    if (const auto payload = OpenFrame(this->key, aKind, frame, fault)) {
      aConnection.isProven = true;
      co_return std::string(*payload);
    }
  }
  this->CountDropped(fault);
  co_return Fail(
    aReason, ReasonCode::MalformedResponse, std::string(NameOf(fault)));
}

Task<std::optional<PeerAnswer>>
PeerTransport::State::Call(std::shared_ptr<State> aSelf,
                           std::string aAddress,
                           std::string aFrame,
                           TimePoint aDeadline,
                           FailureReason& aReason)
{
  State& state = *aSelf;
  const Duration timeLeft = aDeadline - state.timer.Now();
  if (state.stopped || timeLeft <= Duration(0)) {
    co_return Fail(aReason,
                   ReasonCode::Cancelled,
                   "transport stopped or deadline passed",
                   aAddress);
  }
  ConnectionPtr connection = state.TakeIdle(aAddress);
  if (!connection) {
    connection = co_await state.Connect(aAddress, timeLeft, aReason);
  }
  if (!connection) {
    co_return std::nullopt;
  }
  state.clientConnections.insert(connection);
  connection->Arm(aDeadline - state.timer.Now());
  auto answer = co_await state.Exchange(connection, aAddress, aFrame, aReason);
  state.clientConnections.erase(connection);
  connection->Disarm();
  if (answer) {
    state.KeepIdle(aAddress, std::move(connection));
    co_return answer;
  }
  if (connection->TimedOut()) {
    Fail(aReason,
         ReasonCode::ResponseTimeout,
         "peer did not answer before the deadline",
         aAddress);
  } else if (state.stopped) {
    Fail(aReason, ReasonCode::Cancelled, "transport stopped", aAddress);
  }
  connection->Close();
  co_return std::nullopt;
}

// Writes a call and reads its answer. The caller has armed the watchdog.
Task<std::optional<PeerAnswer>>
PeerTransport::State::Exchange(ConnectionPtr aConnection,
                               const std::string& aAddress,
                               const std::string& aFrame,
                               FailureReason& aReason)
{
  Error error;
  const std::size_t written = co_await boost::asio::async_write(
    aConnection->socket,
    boost::asio::buffer(aFrame),
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  this->counters.callsSent += 1;
  this->counters.bytesSent += written;
  if (error) {
    co_return Fail(
      aReason, ReasonCode::WriteFailedPartWay, error.message(), aAddress);
  }
  const auto payload =
    co_await this->ReadFrame(*aConnection, FrameKind::Answer, aReason);
  if (!payload) {
    co_return std::nullopt;
  }
  auto answer = DecodeAnswer(*payload);
  if (!answer) {
    this->CountDropped(FrameFault::Malformed);
    co_return Fail(
      aReason, ReasonCode::MalformedResponse, "malformed answer", aAddress);
  }
  co_return answer;
}

Task<ConnectionPtr>
PeerTransport::State::Connect(const std::string& aAddress,
                              Duration aTime,
                              FailureReason& aReason)
{
  const auto endpoint = ParseEndpoint(aAddress, aReason);
  if (!endpoint) {
    co_return nullptr;
  }
  auto connection = std::make_shared<Connection>(Tcp::socket(this->executor));
  this->clientConnections.insert(connection);
  connection->Arm(aTime);
  Error error;
  co_await connection->socket.async_connect(
    *endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, error));
  this->clientConnections.erase(connection);
  connection->Disarm();
  if (error || connection->TimedOut()) {
    const bool timeoutExpired = connection->TimedOut();
    Fail(aReason,
         timeoutExpired ? ReasonCode::ConnectTimeout
                        : ReasonCode::ConnectRefused,
         error.message(),
         aAddress);
    co_return nullptr;
  }
  connection->socket.set_option(Tcp::no_delay(true), error);
  co_return connection;
}

ConnectionPtr
PeerTransport::State::TakeIdle(const std::string& aAddress)
{
  const auto found = this->idle.find(aAddress);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const TimePoint oldest = this->timer.Now() - this->settings.idleTimeout / 3;
  while (!found->second.empty()) {
    ConnectionPtr connection = std::move(found->second.back());
    found->second.pop_back();
    // The connection is reusable only if a read would block: unexpected bytes
    // or an end of stream mean that it is not.
    Error error;
    connection->socket.non_blocking(true, error);
    char byte = 0;
    connection->socket.receive(boost::asio::buffer(&byte, 1),
                               boost::asio::socket_base::message_peek,
                               error);
    if (connection->idleSince >= oldest &&
        error == boost::asio::error::would_block) {
      return connection;
    }
  }
  this->idle.erase(found);
  return nullptr;
}

void
PeerTransport::State::KeepIdle(const std::string& aAddress,
                               ConnectionPtr aConnection)
{
  this->PurgeIdle();
  std::vector<ConnectionPtr>& connections = this->idle[aAddress];
  if (this->stopped || connections.size() >= this->settings.idlePerPeer) {
    return;
  }
  aConnection->idleSince = this->timer.Now();
  connections.push_back(std::move(aConnection));
}

// Prevents idle connections to daemons that are gone from accumulating. Scans
// at most once per third of the idle timeout, to keep the cost per call low.
void
PeerTransport::State::PurgeIdle()
{
  const TimePoint now = this->timer.Now();
  const Duration maxIdleTime = this->settings.idleTimeout / 3;
  if (now - this->lastPurge < maxIdleTime) {
    return;
  }
  this->lastPurge = now;
  for (auto& [address, connections] : this->idle) {
    std::erase_if(connections, [&](const ConnectionPtr& aConnection) {
      return now - aConnection->idleSince >= maxIdleTime;
    });
  }
  std::erase_if(this->idle,
                [](const auto& aItem) { return aItem.second.empty(); });
}

} // namespace wigeonwalk
