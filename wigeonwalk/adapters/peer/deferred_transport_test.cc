#include "wigeonwalk/adapters/peer/deferred_transport.h"

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/peer/asio_spawner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string kLoopback = "127.0.0.1:0";

ClusterKey
Key(const std::string& aText)
{
  FailureReason reason;
  return *ClusterKey::FromText(aText, reason);
}

// Confirms every call.
struct Handler
{
  void OnDatagram(const PeerDatagram&) {}
  Task<std::optional<PeerAnswer>> OnCall(PeerCall)
  {
    co_return PeerAnswer{ HostId("server"), {}, DocumentPushAnswer{ true } };
  }
};

// One call of the channel.
struct PendingCall
{
  bool done = false;
  std::optional<PeerAnswer> answer;
  FailureReason reason;

  Task<void> Run(DeferredTransport& aChannel,
                 std::string aAddress,
                 boost::asio::io_context& aContext)
  {
    const DocumentCopy copy{ ServiceName("orders"), 4, "e4", "text" };
    const PeerCall call{ HostId("client"), {}, DocumentPush{ copy } };
    SystemTimer timer(aContext.get_executor());
    const TimePoint deadline = timer.Now() + 5s;
    this->answer =
      co_await aChannel.Call(aAddress, call, deadline, this->reason);
    this->done = true;
  }
};

} // namespace

// Guards against a channel that can't be opened again while a call is in
// progress.
SCENARIO("a channel is opened again with another key", "[transport]")
{
  boost::asio::io_context context;
  const auto executor = context.get_executor();
  Handler handler;
  FailureReason reason;
  std::string address;
  {
    PeerTransport probe(executor, Key("the first key of all"));
    REQUIRE(probe.Listen(kLoopback, reason));
    address = probe.LocalAddress();
  }
  PeerTransport peer(executor, Key("the second key of all"));
  peer.Serve(handler);
  REQUIRE(peer.Listen(kLoopback, reason));
  // Accepts connections and never answers.
  tcp::acceptor mute(context, tcp::endpoint(tcp::v4(), 0));
  const std::string muteAddress =
    "127.0.0.1:" + std::to_string(mute.local_endpoint().port());

  DeferredTransport channel(executor);
  REQUIRE(channel.Open(Key("the first key of all"), address, handler, reason));
  PendingCall pending;
  AsioSpawner spawner(executor);
  spawner.Spawn(pending.Run(channel, muteAddress, context));
  context.run_for(100ms);
  REQUIRE(!pending.done);
  REQUIRE(channel.Open(Key("the second key of all"), address, handler, reason));

  PendingCall next;
  spawner.Spawn(next.Run(channel, peer.LocalAddress(), context));
  for (int i = 0; i < 500 && !(pending.done && next.done); ++i) {
    context.run_for(10ms);
  }
  REQUIRE(pending.done);
  CHECK(!pending.answer);
  REQUIRE(next.done);
  CHECK(next.answer);
}
