#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBodyBytes = 24 * 1024 * 1024;

// A client that takes some bytes of its response at a time.
struct SlowClient
{
  std::size_t bytesAtATime = 0;
  Duration pause{ 0 };
};

// One connection with a response of kBodyBytes, or a stream of as many.
struct Exchange
{
  explicit Exchange(const SlowClient& aClient, bool aIsStream)
    : client(aClient)
    , isStream(aIsStream)
    , timer(context.get_executor())
  {
    FailureReason reason;
    HttpLimits limits;
    limits.writeTimeout = 2s;
    this->listener = HttpListener::Open(
      this->context.get_executor(), "127.0.0.1:0", limits, reason);
    asio::co_spawn(this->context, this->Serve(), asio::detached);
    asio::co_spawn(this->context, this->Read(), asio::detached);
    while (!this->written) {
      this->context.run_one_for(100ms);
    }
  }

  Task<void> Serve()
  {
    FailureReason reason;
    auto connection = co_await this->listener->Accept(reason);
    co_await connection->ReadRequest(reason);
    std::string body(kBodyBytes, 'b');
    if (this->isStream) {
      co_await connection->BeginStream(200, {});
      this->written = co_await connection->WriteChunk(std::move(body));
    } else {
      HttpResponse response;
      response.body = std::move(body);
      this->written =
        co_await connection->WriteResponse(std::move(response), false);
    }
  }

  Task<void> Read()
  {
    asio::ip::tcp::socket socket(this->context);
    const asio::ip::tcp::endpoint server(asio::ip::address_v4::loopback(),
                                         this->listener->Port());
    boost::system::error_code error;
    co_await socket.async_connect(server, asio::use_awaitable);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    co_await asio::async_write(
      socket, asio::buffer(request), asio::use_awaitable);
    std::string bytes(this->client.bytesAtATime, '\0');
    while (!error) {
      const TimePoint next = this->timer.Now() + this->client.pause;
      this->received += co_await asio::async_read(
        socket,
        asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, error));
      co_await this->timer.WaitUntil(next);
    }
  }

  SlowClient client;
  bool isStream;
  asio::io_context context{ 1 };
  SystemTimer timer;
  std::optional<HttpListener> listener;
  std::optional<bool> written;
  std::size_t received = 0;
};

} // namespace

// Guards against responses that are cut off although their client reads on, and
// against clients that hold theirs for as long as they like.
SCENARIO("a client takes its response slowly")
{
  const bool isStream = GENERATE(false, true);
  CAPTURE(isStream);

  WHEN("it reads on steadily for longer than the timeout")
  {
    constexpr std::size_t kReads = 60;
    const Exchange exchange({ kBodyBytes / kReads, 100ms }, isStream);
    CHECK(*exchange.written);
  }

  WHEN("it takes a byte now and then")
  {
    const Exchange exchange({ 1, 50ms }, isStream);
    CHECK_FALSE(*exchange.written);
  }

  WHEN("it takes nothing")
  {
    const Exchange exchange({ 1, 1h }, isStream);
    CHECK_FALSE(*exchange.written);
  }
}
