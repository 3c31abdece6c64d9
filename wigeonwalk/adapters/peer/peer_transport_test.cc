#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/peer/asio_spawner.h"
#include "wigeonwalk/adapters/peer/peer_codec.h"
#include "wigeonwalk/adapters/peer/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace wigeonwalk;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

const std::string kLoopback = "127.0.0.1:0";

ClusterKey
Key(const std::string& aText = "a key of the cluster")
{
  FailureReason reason;
  return *ClusterKey::FromText(aText, reason);
}

// Answers calls and records datagrams.
struct Handler
{
  std::vector<PeerDatagram> datagrams;
  bool silent = false;

  void OnDatagram(const PeerDatagram& aDatagram)
  {
    this->datagrams.push_back(aDatagram);
  }
  Task<std::optional<PeerAnswer>> OnCall(PeerCall aCall)
  {
    if (this->silent) {
      co_return std::nullopt;
    }
    const bool push = std::holds_alternative<DocumentPush>(aCall.body);
    co_return PeerAnswer{ HostId("server"), {}, DocumentPushAnswer{ push } };
  }
};

// The transports of two daemons, a client and a server, in one process. Every
// run of the I/O context is bounded in time.
struct Pair
{
  Pair()
  {
    FailureReason reason;
    this->server->Serve(this->handler);
    REQUIRE(this->server->Listen(kLoopback, reason));
    REQUIRE(this->client.Listen(kLoopback, reason));
    this->address = this->server->LocalAddress();
  }

  // Runs the I/O context until a condition holds, for at most 10 s.
  template<typename F>
  bool RunUntil(F aDone)
  {
    for (int i = 0; i < 1'000 && !aDone(); ++i) {
      this->context.run_for(10ms);
    }
    return aDone();
  }

  std::optional<PeerAnswer> Call(FailureReason& aReason, Duration aTime = 5s)
  {
    bool done = false;
    std::optional<PeerAnswer> answer;
    AsioSpawner(this->context.get_executor())
      .Spawn(this->RunCall(aTime, answer, aReason, done));
    REQUIRE(this->RunUntil([&] { return done; }));
    return answer;
  }

  Task<void> RunCall(Duration aTime,
                     std::optional<PeerAnswer>& aAnswer,
                     FailureReason& aReason,
                     bool& aDone)
  {
    const DocumentCopy copy{ ServiceName("orders"), 4, "e4", "text" };
    const PeerCall call{ HostId("client"), {}, DocumentPush{ copy } };
    SystemTimer timer(this->context.get_executor());
    aAnswer = co_await this->client.Call(
      this->address, call, timer.Now() + aTime, aReason);
    aDone = true;
  }

  std::uint64_t Dropped(FrameFault aFault) const
  {
    return this->server->Counters().dropped[static_cast<std::size_t>(aFault)];
  }

  tcp::endpoint ServerEndpoint() const
  {
    const std::size_t colon = this->address.rfind(':');
    const int port = std::stoi(this->address.substr(colon + 1));
    return { boost::asio::ip::make_address("127.0.0.1"),
             static_cast<std::uint16_t>(port) };
  }

  boost::asio::io_context context;
  Handler handler;
  PeerTransportSettings settings{ .frameTimeout = 200ms };
  std::unique_ptr<PeerTransport> server =
    std::make_unique<PeerTransport>(this->context.get_executor(),
                                    Key(),
                                    this->settings);
  PeerTransport client{ this->context.get_executor(), Key() };
  std::string address;
};

} // namespace

// Guards against lost messages, and against failed calls whose reason does not
// say how far they got.
SCENARIO("two daemons exchange messages over the loopback interface",
         "[transport]")
{
  Pair pair;
  FailureReason reason;

  WHEN("the client sends a datagram")
  {
    PeerDatagram datagram;
    datagram.sequence = 42;
    pair.client.Send(pair.address, datagram);
    REQUIRE(pair.RunUntil([&] { return !pair.handler.datagrams.empty(); }));
    CHECK(pair.handler.datagrams.front() == datagram);
  }
  WHEN("the client calls several times")
  {
    for (int i = 0; i < 3; ++i) {
      const auto answer = pair.Call(reason);
      REQUIRE(answer);
      CHECK(std::get<DocumentPushAnswer>(answer->body).wasNew);
    }
    CHECK(pair.server->Counters().callsServed == 3);
    AND_WHEN("the server restarts at the same address")
    {
      pair.server.reset();
      pair.server = std::make_unique<PeerTransport>(
        pair.context.get_executor(), Key(), pair.settings);
      pair.server->Serve(pair.handler);
      REQUIRE(pair.server->Listen(pair.address, reason));
      pair.context.run_for(20ms);
      THEN("the next call uses a new connection")
      {
        CHECK(pair.Call(reason).has_value());
      }
    }
  }
  WHEN("the server closes without an answer")
  {
    pair.handler.silent = true;
    CHECK_FALSE(pair.Call(reason));
    CHECK(reason.code == ReasonCode::ConnectionLostAfterWrite);
  }
  WHEN("no process listens at the address")
  {
    pair.server.reset();
    CHECK_FALSE(pair.Call(reason));
    CHECK(reason.code == ReasonCode::ConnectRefused);
  }
  WHEN("the server accepts the connection and never answers")
  {
    tcp::acceptor silent(
      pair.context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    pair.address =
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    CHECK_FALSE(pair.Call(reason, 100ms));
    CHECK(reason.code == ReasonCode::ResponseTimeout);
  }
  WHEN("the address is not an IP and port")
  {
    pair.address = "localhost:80";
    CHECK_FALSE(pair.Call(reason));
    CHECK(reason.code == ReasonCode::InvalidArgument);
  }
}

// Guards against a listener that accepts an invalid frame, or keeps the
// connection on which it arrived open.
SCENARIO("an invalid frame is dropped, counted and ends its connection",
         "[transport]")
{
  struct Case
  {
    const char* name;
    std::string bytes;
    std::optional<FrameFault> fault;
  };
  const std::string good = SealFrame(Key(), FrameKind::Call, "payload");
  const auto row = GENERATE_COPY(values<Case>({
    { "not a frame", "GET / HTTP/1.1\r\n\r\n", FrameFault::NotAFrame },
    { "too large",
      std::string("WW\x01\x01\x7F\xFF\xFF\xFF", 8),
      FrameFault::TooLarge },
    { "of another cluster",
      SealFrame(Key("the key of another cluster"), FrameKind::Call, "payload"),
      FrameFault::Unauthenticated },
    { "a datagram as a call",
      SealFrame(Key(), FrameKind::Datagram, "payload"),
      FrameFault::WrongKind },
    { "authentic but malformed", good, FrameFault::Malformed },
    { "truncated, then nothing", good.substr(0, 12), std::nullopt },
  }));
  CAPTURE(row.name);
  Pair pair;
  tcp::socket socket(pair.context);
  socket.connect(pair.ServerEndpoint());
  boost::asio::write(socket, boost::asio::buffer(row.bytes));
  socket.non_blocking(true);
  boost::system::error_code error;
  char byte = 0;
  const bool closed = pair.RunUntil([&] {
    socket.receive(boost::asio::buffer(&byte, 1), 0, error);
    return error && error != boost::asio::error::would_block;
  });
  CHECK(closed);
  std::uint64_t dropped = 0;
  for (const std::uint64_t count : pair.server->Counters().dropped) {
    dropped += count;
  }
  CHECK(dropped == (row.fault ? 1 : 0));
  CHECK((!row.fault || pair.Dropped(*row.fault) == 1));

  FailureReason reason;
  CHECK(pair.Call(reason).has_value());
}

// Guards against datagrams from outside the cluster that change a daemon's
// state.
SCENARIO("an invalid datagram is dropped and counted", "[transport]")
{
  Pair pair;
  const auto endpoint = pair.ServerEndpoint();
  udp::socket socket(pair.context, udp::v4());
  const std::string payload = EncodeDatagram({}, kMaxDatagramBytes);
  const ClusterKey other = Key("the key of another cluster");
  for (const std::string& bytes :
       { SealFrame(other, FrameKind::Datagram, payload),
         SealFrame(Key(), FrameKind::Datagram, "payload"),
         SealFrame(Key(), FrameKind::Call, payload),
         std::string(2'000, 'x') }) {
    socket.send_to(boost::asio::buffer(bytes),
                   udp::endpoint(endpoint.address(), endpoint.port()));
  }
  CHECK(pair.RunUntil([&] {
    return pair.Dropped(FrameFault::Unauthenticated) == 1 &&
           pair.Dropped(FrameFault::Malformed) == 1 &&
           pair.Dropped(FrameFault::WrongKind) == 1 &&
           pair.Dropped(FrameFault::TooLarge) == 1;
  }));
  CHECK(pair.handler.datagrams.empty());
}
