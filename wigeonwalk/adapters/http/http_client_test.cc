#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/adapters/http/test_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOkHead = "HTTP/1.1 200 OK\r\n";
constexpr const char* kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string
Repeated(const std::string& aPart)
{
  constexpr int kTimes = 1'000;
  std::string text;
  for (int i = 0; i < kTimes; ++i) {
    text += aPart;
  }
  return text;
}

// A pool and a peer on loopback.
struct Fixture
{
  explicit Fixture(Duration aMaxIdle = 60s)
    : timer(context.get_executor())
    , pool(timer, context.get_executor(), aMaxIdle)
    , peer(context.get_executor())
  {
  }

  // Sends one request and reads its response. The deadline is reached only by
  // a client that reads without a bound.
  std::optional<HttpResponse> Call() { return this->CallPeer(this->peer); }

  std::optional<HttpResponse> CallPeer(const TestPeer& aPeer)
  {
    this->reason = FailureReason();
    std::optional<HttpResponse> response;
    bool ended = false;
    const auto call = [&]() -> Task<void> {
      const std::string address = aPeer.Address();
      const TimePoint deadline = this->timer.Now() + 20s;
      response = co_await this->pool.Exchange(
        address, this->request, Reuse::Allowed, deadline, this->reason);
      ended = true;
    };
    boost::asio::co_spawn(this->context, call(), boost::asio::detached);
    while (!ended) {
      this->context.run_one();
    }
    return response;
  }

  boost::asio::io_context context{ 1 };
  SystemTimer timer;
  HttpPool pool;
  TestPeer peer;
  HttpRequest request{ .method = "GET", .target = "/" };
  FailureReason reason;
};

} // namespace

// Guards against peers whose bytes never end: the client reads until its
// deadline and keeps all of it in memory.
SCENARIO("a response that never ends is malformed as soon as it is too large")
{
  Fixture fixture;
  struct EndlessRow
  {
    const char* name;
    std::string bytes;
    std::string repeated;
    std::chrono::milliseconds pause{ 0 };
  };
  const std::vector<EndlessRow> rows{
    { "header lines, many at once", kOkHead, Repeated("A: b\r\n") },
    { "header lines, one at a time",
      kOkHead,
      "A: " + Repeated("b") + "\r\n",
      1ms },
    { "one header line", std::string(kOkHead) + "A: ", Repeated("b") },
    { "status line", "HTTP/1.1 200 ", Repeated("OK") },
    { "bytes that are not HTTP", "", Repeated("\x16\x03") },
    { "chunk extension", std::string(kChunkedHead) + "2", Repeated(";a=b") },
    { "trailers", std::string(kChunkedHead) + "0\r\n", Repeated("A: b\r\n") },
    { "chunks", kChunkedHead, "4000\r\n" + std::string(0x4000, 'a') + "\r\n" },
    { "body without a length",
      std::string(kOkHead) + "\r\n",
      std::string(0x4000, 'a') },
    { "body with a length",
      std::string(kOkHead) + "Content-Length: 99999999999\r\n\r\n",
      std::string(0x4000, 'a') },
  };
  for (const EndlessRow& row : rows) {
    INFO(row.name);
    fixture.peer.answers = {
      { row.bytes, PeerEnd::Repeat, row.repeated, row.pause }, { kWhole }
    };
    CHECK_FALSE(fixture.Call().has_value());
    CHECK(fixture.reason.code == ReasonCode::MalformedResponse);
    const int connections = fixture.peer.connections;
    const auto next = fixture.Call();
    REQUIRE(next.has_value());
    CHECK(next->body == "ok");
    CHECK(fixture.peer.connections == connections + 1);
  }
}

// Guards against interim responses (1xx) that are taken for the response, so
// that the caller never gets it, and the next request gets it instead.
SCENARIO("interim responses are skipped")
{
  Fixture fixture;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

  WHEN("some precede the response")
  {
    fixture.peer.answers = { { "HTTP/1.1 100 Continue\r\n\r\n" + interim +
                               kWhole } };
    const auto response = fixture.Call();
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == "ok");
    CHECK(FindHeader(response->headers, "Link").empty());
  }

  WHEN("they never end")
  {
    fixture.peer.answers = { { "", PeerEnd::Repeat, Repeated(interim) } };
    CHECK_FALSE(fixture.Call().has_value());
    CHECK(fixture.reason.code == ReasonCode::MalformedResponse);
  }

  WHEN("the peer switches to another protocol")
  {
    fixture.peer.answers = { { "HTTP/1.1 101 Switching Protocols\r\n\r\n" +
                               std::string(kWhole) } };
    CHECK_FALSE(fixture.Call().has_value());
    CHECK(fixture.reason.code == ReasonCode::MalformedResponse);
  }
}

// Guards against a peer in trouble whose head has a number that is no status:
// it is neither an interim response nor the final one.
SCENARIO("a response whose status is none is malformed")
{
  Fixture fixture;
  const auto status = GENERATE(values<std::string>({ "000",
                                                     "001",
                                                     "099",
                                                     "600",
                                                     "999",
                                                     "0",
                                                     "20",
                                                     "2000",
                                                     "-20",
                                                     "2x0",
                                                     "" }));
  const std::string after = GENERATE(
    "\r\n", "Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok");
  CAPTURE(status, after);
  fixture.peer.answers = { { "HTTP/1.1 " + status + " Trouble\r\n" + after,
                             PeerEnd::Close } };
  CHECK_FALSE(fixture.Call().has_value());
  CHECK(fixture.reason.code == ReasonCode::MalformedResponse);

  THEN("a response behind it is not taken for the answer")
  {
    fixture.peer.answers = {
      { "HTTP/1.1 " + status + " Trouble\r\n\r\n" + kWhole, PeerEnd::Close }
    };
    CHECK_FALSE(fixture.Call().has_value());
  }
}

// Guards against the part of a response that came before the request was sent
// as a whole, and that counts as complete once the write has failed.
SCENARIO("an early response that breaks off is not complete")
{
  Fixture fixture;
  const auto end = GENERATE(PeerEnd::Close, PeerEnd::Reset);
  const std::string part = GENERATE(
    as<std::string>(),
    "HTTP/1.1 200 OK\r\n\r\npart",
    "HTTP/1.0 200 OK\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  const std::size_t bodyBytes = GENERATE(100'000, 32'000'000);
  CAPTURE(NameOf(end), part, bodyBytes);
  // The peer reads only the head: its system resets the connection also where
  // it closes it.
  fixture.request.method = "POST";
  fixture.request.body = std::string(bodyBytes, 'b');
  fixture.peer.answers = { { part, end } };
  CHECK_FALSE(fixture.Call().has_value());
  CHECK((fixture.reason.code == ReasonCode::WriteFailedPartWay ||
         fixture.reason.code == ReasonCode::ConnectionLostAfterWrite));
}

// Guards against responses that look complete but are not, and against
// connections that are kept although they can serve nothing more.
SCENARIO("a response without a length ends with its connection")
{
  Fixture fixture;
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  CAPTURE(version);
  const std::string head = version + " 200 OK\r\n";

  WHEN("the peer closes the connection")
  {
    fixture.peer.answers = { { head + "\r\nwhole", PeerEnd::Close } };
    const auto response = fixture.Call();
    REQUIRE(response.has_value());
    CHECK(response->body == "whole");
    CHECK(fixture.pool.IdleCount() == 0);
  }

  WHEN("the body is empty")
  {
    fixture.peer.answers = { { head + "\r\n", PeerEnd::Close } };
    const auto response = fixture.Call();
    REQUIRE(response.has_value());
    CHECK(response->body.empty());
  }

  WHEN("the connection is reset")
  {
    fixture.peer.answers = { { head + "\r\nwhole", PeerEnd::Reset } };
    CHECK_FALSE(fixture.Call().has_value());
    CHECK(fixture.reason.code == ReasonCode::ConnectionLostAfterWrite);
  }
}

// Guards against truncated responses that are taken for complete ones.
SCENARIO("a response that is cut off is not complete")
{
  Fixture fixture;
  const auto end = GENERATE(PeerEnd::Close, PeerEnd::Reset);
  CAPTURE(NameOf(end));
  const std::string whole =
    GENERATE(std::string(kWhole),
             std::string(kChunkedHead) + "2\r\nok\r\n0\r\n\r\n",
             std::string(kChunkedHead) + "2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
             std::string("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    CAPTURE(whole.substr(0, bytes));
    fixture.peer.answers = { { whole.substr(0, bytes), end } };
    CHECK_FALSE(fixture.Call().has_value());
    CHECK(fixture.reason.code == ReasonCode::ConnectionLostAfterWrite);
  }
  fixture.peer.answers = { { whole, PeerEnd::Close } };
  const auto response = fixture.Call();
  REQUIRE(response.has_value());
  CHECK(response->body == "ok");
}

// Guards against a peer that repeats a refusal on a connection that is in use
// again: the later request would count as not run although it runs.
SCENARIO("a connection is not reused after a refusal")
{
  Fixture fixture;
  const std::string refusal =
    GENERATE("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  CAPTURE(refusal);
  // On the refused connection, the copy would precede the next response.
  fixture.peer.answers = { { refusal }, { kWhole } };
  REQUIRE(fixture.Call().has_value());
  CHECK(fixture.pool.IdleCount() == 0);
  const auto next = fixture.Call();
  REQUIRE(next.has_value());
  CHECK(next->status == 200);
  CHECK(fixture.peer.connections == 2);
  REQUIRE(fixture.Call().has_value());
  CHECK(fixture.peer.connections == 2);
}

// Guards against a peer whose bytes are always ready, from which a client reads
// beyond its deadline.
SCENARIO("bytes that are ready are not read after the deadline")
{
  Fixture fixture;
  fixture.peer.answers = { { std::string(kOkHead) + "\r\nready" } };
  const bool isHeadInTime = GENERATE(true, false);
  CAPTURE(isHeadInTime);
  FailureReason reason;
  bool ended = false;
  const auto call = [&]() -> Task<void> {
    const HttpRequest request{ .method = "GET", .target = "/" };
    const std::string address = fixture.peer.Address();
    const TimePoint past = fixture.timer.Now();
    const TimePoint future = past + 20s;
    auto connection =
      co_await fixture.pool.Acquire(address, Reuse::Allowed, future, reason);
    REQUIRE(connection.has_value());
    CHECK(co_await connection->Send(request, future, reason));
    CHECK(co_await connection->WaitReadable(future));
    const TimePoint headDeadline = isHeadInTime ? future : past;
    const auto head = co_await connection->ReadHead(headDeadline, reason);
    CHECK(head.has_value() == isHeadInTime);
    if (isHeadInTime) {
      const auto bytes = co_await connection->ReadSome(past, reason);
      CHECK_FALSE(bytes.has_value());
    }
    CHECK(reason.code == ReasonCode::ResponseTimeout);
    CHECK_FALSE(connection->Reusable());
    ended = true;
  };
  boost::asio::co_spawn(fixture.context, call(), boost::asio::detached);
  while (!ended) {
    fixture.context.run_one();
  }
}

// Guards against connections to peers that nobody calls again: they kept the
// descriptors that a new caller needs.
SCENARIO("idle connections are closed in time, and beyond their number")
{
  constexpr Duration kMaxIdle = 50ms;
  Fixture fixture(kMaxIdle);
  TestPeer other(fixture.context.get_executor());
  fixture.peer.answers = { { kWhole, PeerEnd::KeepOpen } };
  other.answers = { { kWhole, PeerEnd::KeepOpen } };
  REQUIRE(fixture.Call());
  CHECK(fixture.pool.IdleCount() == 1);

  WHEN("another peer is called after the longest idle time")
  {
    fixture.context.run_for(kMaxIdle * 2);
    REQUIRE(fixture.CallPeer(other));
    CHECK(fixture.pool.IdleCount() == 1);
  }

  WHEN("only one may be idle")
  {
    fixture.pool.SetMaxIdleCount(1);
    REQUIRE(fixture.CallPeer(other));
    CHECK(fixture.pool.IdleCount() == 1);
    fixture.pool.CloseIdle(other.Address());
    CHECK(fixture.pool.IdleCount() == 0);
  }

  WHEN("one must make room")
  {
    CHECK(fixture.pool.CloseLongestIdle());
    CHECK(fixture.pool.IdleCount() == 0);
    CHECK_FALSE(fixture.pool.CloseLongestIdle());
  }
}

// Guards against a connection that is lost because a response on it was given
// up.
SCENARIO("a response that was given up leaves its connection usable")
{
  constexpr std::size_t kBytes = 9 * 1'024 * 1'024;
  const std::string answer = std::string(kOkHead) +
                             "Content-Length: " + std::to_string(kBytes) +
                             "\r\n\r\n" + std::string(kBytes, 'b');
  Fixture fixture;
  fixture.peer.answers = { { answer }, { answer }, { answer } };
  const HttpRequest request{ .method = "GET", .target = "/" };
  const std::string address = fixture.peer.Address();
  int givenUp = 0;
  bool ended = false;
  const auto run = [&]() -> Task<void> {
    FailureReason reason;
    const TimePoint deadline = fixture.timer.Now() + 20s;
    auto slow =
      co_await fixture.pool.Acquire(address, Reuse::Allowed, deadline, reason);
    co_await slow->Send(request, deadline, reason);
    co_await slow->ReadResponse(deadline, reason);
    slow->GiveUpIfSlow([&] { ++givenUp; });
    co_await fixture.timer.WaitUntil(fixture.timer.Now() +
                                     MessageMemory::kMaxWait);
    const auto other = co_await fixture.pool.Exchange(
      address, request, Reuse::Allowed, deadline, reason);
    CHECK(other.has_value());
    CHECK(givenUp == 1);
    fixture.pool.Release(std::move(*slow));
    ended = true;
  };
  boost::asio::co_spawn(fixture.context, run(), boost::asio::detached);
  while (!ended) {
    fixture.context.run_one();
  }
  CHECK(fixture.Call().has_value());
  CHECK(fixture.pool.IdleCount() == 2);
}
