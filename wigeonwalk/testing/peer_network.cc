#include "wigeonwalk/testing/peer_network.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace wigeonwalk {
namespace {

// Retransmission timeout of a lost segment of a connection.
constexpr Duration kResendAfter = std::chrono::milliseconds(200);

// Delay between the end of a pause and the reading of queued datagrams.
constexpr Duration kReadAfterWake = std::chrono::milliseconds(1);

} // namespace

PeerNetwork::PeerNetwork(VirtualTime& aTime, std::uint64_t aSeed)
  : time(aTime)
  , random(aSeed)
{
}

PeerNetwork::Endpoint&
PeerNetwork::Add(const std::string& aAddress, const std::string& aGroup)
{
  Endpoint& endpoint = this->endpoints[aAddress];
  endpoint.address = aAddress;
  endpoint.group = aGroup;
  endpoint.alive = true;
  return endpoint;
}

void
PeerNetwork::SetLink(const std::string& aFrom,
                     const std::string& aTo,
                     LinkSettings aLink)
{
  this->links[{ aFrom, aTo }] = aLink;
}

void
PeerNetwork::SetCut(const std::string& aOne,
                    const std::string& aOther,
                    bool aCut)
{
  for (const auto& pair :
       { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    if (aCut) {
      this->cuts.insert(pair);
    } else {
      this->cuts.erase(pair);
    }
  }
}

const LinkSettings&
PeerNetwork::LinkOf(const Endpoint& aFrom, const Endpoint& aTo) const
{
  const auto found = this->links.find({ aFrom.group, aTo.group });
  return found == this->links.end() ? this->defaultLink : found->second;
}

bool
PeerNetwork::IsCut(const Endpoint& aFrom, const Endpoint& aTo) const
{
  return !this->cuts.empty() && this->cuts.contains({ aFrom.group, aTo.group });
}

Duration
PeerNetwork::Delay(const LinkSettings& aLink, bool aResend)
{
  std::uniform_real_distribution<> unit(0, 1);
  Duration delay =
    aLink.delay + FromSeconds(unit(this->random) * ToSeconds(aLink.jitter));
  while (aResend && unit(this->random) < aLink.loss) {
    delay += kResendAfter;
  }
  return delay;
}

void
PeerNetwork::Send(Endpoint& aFrom,
                  const std::string& aTo,
                  const PeerDatagram& aDatagram)
{
  if (!aFrom.alive) {
    return;
  }
  std::uint64_t bytes = 0;
  PeerDatagram transcoded = this->transcodeDatagram
                              ? this->transcodeDatagram(aDatagram, bytes)
                              : aDatagram;
  aFrom.sent.datagrams += 1;
  aFrom.sent.bytes += bytes;
  const auto found = this->endpoints.find(aTo);
  if (found == this->endpoints.end() || this->IsCut(aFrom, found->second)) {
    return;
  }
  const LinkSettings& link = this->LinkOf(aFrom, found->second);
  if (std::uniform_real_distribution<>(0, 1)(this->random) < link.loss) {
    return;
  }
  found->second.received.bytes += bytes;
  this->time.Spawn(this->Deliver(
    found->second, std::move(transcoded), this->Delay(link, false)));
}

Task<void>
PeerNetwork::Deliver(Endpoint& aTo, PeerDatagram aDatagram, Duration aDelay)
{
  co_await this->time.WaitUntil(this->time.Now() + aDelay);
  if (aTo.pausedUntil > this->time.Now()) {
    if (aTo.waiting >= kMaxWaiting) {
      co_return;
    }
    aTo.waiting += 1;
    co_await this->WaitWhilePaused(aTo);
    aTo.waiting -= 1;
    // Timers that expired during the pause fire before queued datagrams are
    // read.
    co_await this->time.WaitUntil(this->time.Now() + kReadAfterWake);
  }
  if (aTo.alive && aTo.onDatagram) {
    aTo.received.datagrams += 1;
    aTo.onDatagram(aDatagram);
  }
}

Task<void>
PeerNetwork::WaitWhilePaused(Endpoint& aEndpoint)
{
  while (aEndpoint.pausedUntil > this->time.Now()) {
    co_await this->time.WaitUntil(aEndpoint.pausedUntil);
  }
}

Task<std::optional<PeerAnswer>>
PeerNetwork::Call(Endpoint& aFrom,
                  const std::string& aTo,
                  const PeerCall& aCall,
                  TimePoint aDeadline,
                  FailureReason& aReason)
{
  std::uint64_t bytes = 0;
  const PeerCall call =
    this->transcodeCall ? this->transcodeCall(aCall, bytes) : aCall;
  aFrom.sent.calls += 1;
  aFrom.sent.bytes += bytes;
  const auto found = this->endpoints.find(aTo);
  const bool reached = found != this->endpoints.end() && aFrom.alive &&
                       found->second.alive &&
                       !this->IsCut(aFrom, found->second);
  if (!reached) {
    co_await this->time.WaitUntil(aDeadline);
    co_return Fail(
      aReason, ReasonCode::ConnectTimeout, "no route to peer", aTo);
  }
  Endpoint& to = found->second;
  const LinkSettings& link = this->LinkOf(aFrom, to);
  // Opening a connection takes one more round trip than the call itself.
  const Duration requestDelay = this->Delay(link, true) + 2 * link.delay;
  co_await this->time.WaitUntil(this->time.Now() + requestDelay);
  co_await this->WaitWhilePaused(to);
  if (!to.alive || !to.onCall || this->time.Now() >= aDeadline) {
    co_await this->time.WaitUntil(aDeadline);
    co_return Fail(aReason, ReasonCode::ResponseTimeout, "no answer", aTo);
  }
  to.received.calls += 1;
  to.received.bytes += bytes;
  std::optional<PeerAnswer> answer = co_await to.onCall(call);
  if (!answer || !to.alive || this->IsCut(aFrom, to)) {
    co_return Fail(aReason,
                   ReasonCode::ConnectionLostAfterWrite,
                   "peer closed the connection",
                   aTo);
  }
  std::uint64_t answerBytes = 0;
  if (this->transcodeAnswer) {
    answer = this->transcodeAnswer(*answer, answerBytes);
  }
  to.sent.bytes += answerBytes;
  aFrom.received.bytes += answerBytes;
  co_await this->time.WaitUntil(this->time.Now() + this->Delay(link, true));
  if (this->time.Now() > aDeadline) {
    co_return Fail(aReason, ReasonCode::ResponseTimeout, "late answer", aTo);
  }
  co_return answer;
}

} // namespace wigeonwalk
