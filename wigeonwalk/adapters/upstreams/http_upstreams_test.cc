#include "wigeonwalk/adapters/http/test_peer.h"
#include "wigeonwalk/adapters/upstreams/http_upstreams.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kRefusal =
  "HTTP/1.1 503 Busy\r\nX-Request-Not-Run: true\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a service that repeats a refusal on a connection in use again:
// the next call would count as not run and run at a second upstream too.
SCENARIO("a repeated refusal of a plain service does not count for the next "
         "call")
{
  boost::asio::io_context context{ 1 };
  SystemTimer timer(context.get_executor());
  HttpPool pool(timer, context.get_executor(), 60s);
  TestPeer peer(context.get_executor());
  HttpPlainService service(pool, peer.Address());
  // The copy would precede the answer to the second call on its connection.
  peer.answers = { { kRefusal }, { kOk } };
  bool ended = false;
  const auto calls = [&]() -> Task<void> {
    PlainRequest request;
    request.method = "GET";
    request.target = "/";
    const TimePoint deadline = timer.Now() + 20s;
    FailureReason reason;
    const auto refused = co_await service.Call(request, deadline, reason);
    CHECK_FALSE(refused.has_value());
    CHECK(reason.code == ReasonCode::RefusedBeforeRun);
    const auto answered = co_await service.Call(request, deadline, reason);
    CHECK(answered.has_value());
    ended = true;
  };
  boost::asio::co_spawn(context, calls(), boost::asio::detached);
  while (!ended) {
    context.run_one();
  }
  CHECK(peer.requests == 2);
  CHECK(peer.connections == 2);
}
