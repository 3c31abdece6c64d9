#include "wigeonwalk/adapters/address/endpoint.h"
#include "wigeonwalk/adapters/jsonrpc/frames.h"
#include "wigeonwalk/adapters/jsonrpc/operator_client.h"
#include "wigeonwalk/adapters/jsonrpc/operator_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using nlohmann::json;

namespace {

// Far longer than any answer over loopback takes; a missing answer fails a
// check instead of blocking the test.
constexpr Duration kAnswerTimeout = 20s;

// A daemon's operator listener on its own I/O thread.
class Daemon
{
public:
  explicit Daemon(OperatorServerOptions aOptions = {})
    : server(this->context.get_executor(), aOptions)
  {
    this->server.Register("status",
                          [](std::string aParams, FailureReason&)
                            -> Task<std::optional<std::string>> {
                            co_return "{\"echo\":" + aParams + "}";
                          });
    this->server.Register(
      "documents.apply",
      [](std::string,
         FailureReason& aReason) -> Task<std::optional<std::string>> {
        co_return Fail(
          aReason, ReasonCode::Conflict, "revision is 4", "/revision");
      });
    this->server.RegisterSimple("drain",
                                [](const std::string&, std::string& aError) {
                                  aError = "already stopping";
                                  return std::optional<std::string>();
                                });
    this->server.Register(
      "broken",
      [](std::string, FailureReason&) -> Task<std::optional<std::string>> {
        co_return "no JSON";
      });
    this->server.Register(
      "throws",
      [](std::string aParams,
         FailureReason&) -> Task<std::optional<std::string>> {
        co_return json::parse(aParams).at("n").get<std::string>();
      });
    this->server.Register(
      "stop",
      [this](std::string, FailureReason&) -> Task<std::optional<std::string>> {
        this->server.Stop();
        co_await boost::asio::post(this->context, boost::asio::use_awaitable);
        co_return "{}";
      });
    FailureReason reason;
    REQUIRE(this->server.Listen("127.0.0.1:0", reason));
    this->address = this->server.Address();
    boost::asio::co_spawn(
      this->context, this->server.Run(), boost::asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~Daemon()
  {
    boost::asio::post(this->context, [this] { this->server.Stop(); });
    this->thread.join();
  }

  boost::asio::io_context context;
  OperatorServer server;
  std::string address;
  std::thread thread;
};

// Sends raw bytes, shuts down the sending side and returns all that is
// received.
std::string
Exchange(const std::string& aAddress, const std::string& aBytes)
{
  FailureReason reason;
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect(*ParseEndpoint(aAddress, reason));
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(aBytes), ignored);
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
  return answer;
}

std::string
Frame(const std::string& aText)
{
  std::string frame(4, '\0');
  for (std::size_t i = 0; i < 4; ++i) {
    frame[i] = static_cast<char>(aText.size() >> (24 - 8 * i));
  }
  return frame + aText;
}

std::string
Request(const std::string& aMethod, const std::string& aParams = "{}")
{
  return R"({"jsonrpc":"2.0","id":1,"method":")" + aMethod + R"(","params":)" +
         aParams + "}";
}

} // namespace

// Guards against reporting the wrong outcome of a call to the operator, or a
// refusal without what was refused and why.
SCENARIO("an operator calls a daemon", "[jsonrpc][concurrent]")
{
  Daemon daemon;
  OperatorClient client(daemon.address, kAnswerTimeout);
  FailureReason reason;
  WHEN("the method answers")
  {
    const auto result = client.Call("status", R"({"a":[1,"ä"]})", reason);
    THEN("the result arrives, and the connection serves the next call")
    {
      INFO(reason.ToString());
      REQUIRE(result.has_value());
      CHECK(json::parse(*result) == json::parse(R"({"echo":{"a":[1,"ä"]}})"));
      CHECK(client.Call("status", "{}", reason).has_value());
    }
  }
  WHEN("the method refuses")
  {
    CHECK_FALSE(client.Call("documents.apply", "{}", reason).has_value());
    THEN("the daemon's reason arrives complete")
    {
      CHECK(reason.code == ReasonCode::Conflict);
      CHECK(reason.place == "/revision");
      CHECK(reason.detail == "revision is 4");
      CHECK_FALSE(IsUnreachable(reason.code));
    }
  }
  WHEN("a simple method refuses")
  {
    CHECK_FALSE(client.Call("drain", "{}", reason).has_value());
    THEN("its error text arrives")
    {
      CHECK(reason.detail == "already stopping");
    }
  }
  WHEN("the daemon does not know the method")
  {
    CHECK_FALSE(client.Call("no.such", "{}", reason).has_value());
    THEN("the reason says so")
    {
      CHECK(reason.code == ReasonCode::NotFound);
    }
  }
  WHEN("the parameters are not JSON")
  {
    CHECK_FALSE(client.Call("status", "{", reason).has_value());
    THEN("nothing is sent")
    {
      CHECK(reason.code == ReasonCode::MalformedResponse);
    }
  }
  WHEN("the result is a large document")
  {
    const std::string text(900'000, '\x01');
    const std::string params = json{ { "text", text } }.dump();
    THEN("it arrives complete")
    {
      const auto result = client.Call("status", params, reason);
      REQUIRE(result.has_value());
      CHECK(json::parse(*result)["echo"]["text"] == text);
    }
  }
}

// Guards against a daemon that crashes, hangs or uses ever more memory because
// of what a client sends.
SCENARIO("a client sends malformed bytes", "[jsonrpc][concurrent]")
{
  struct Row
  {
    const char* name;
    std::string bytes;
    // Part of the answer; empty if the daemon only closes the connection.
    const char* answer;
  };
  const std::vector<Row> rows{
    { "nothing", "", "" },
    { "half a length", std::string("\0\0", 2), "" },
    { "connection closed within a frame",
      Frame(Request("status")).substr(0, 20),
      "" },
    { "oversized frame", std::string("\x01\xFF\xFF\xFF", 4) + "{}", "" },
    { "empty frame", Frame(""), "-32700" },
    { "not JSON", Frame("hello"), "-32700" },
    { "truncated JSON", Frame(R"({"jsonrpc":"2.0")"), "-32700" },
    { "deep nesting", Frame(std::string(100'000, '[')), "-32700" },
    { "deep nesting in an object",
      Frame("{\"a\":" + std::string(100'000, '[')),
      "-32700" },
    { "not a request", Frame("7"), "-32600" },
    { "empty batch", Frame("[]"), "-32600" },
    { "unknown method", Frame(Request("no.such")), "-32601" },
    { "version 1", Frame(R"({"method":"status","id":1})"), "-32600" },
    { "parameters in a list", Frame(Request("status", "[1]")), "-32602" },
    { "result that is not JSON", Frame(Request("broken")), "-32603" },
    { "parameter that makes the method throw",
      Frame(Request("throws", R"({"n":1})")) + Frame(Request("no.such")),
      "cannot process these parameters" },
    { "batch of two",
      Frame("[" + Request("status", R"({"n":1})") + "," +
            Request("documents.apply") + "]"),
      "revision is 4" },
    { "two frames at once",
      Frame(Request("no.such")) + Frame(Request("status", R"({"n":2})")),
      R"({"n":2})" },
    { "HTTP without a handler", "GET /metrics HTTP/1.1\r\n\r\n", "" },
  };
  Daemon daemon;
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name)
    {
      const std::string answer = Exchange(daemon.address, row.bytes);
      INFO(answer);
      CHECK((*row.answer == '\0') == answer.empty());
      CHECK(answer.find(row.answer) != std::string::npos);
      FailureReason reason;
      OperatorClient client(daemon.address, kAnswerTimeout);
      CHECK(client.Call("status", "{}", reason).has_value());
    }
  }
}

// Guards against allocating memory for a length that a client merely states,
// and against reporting one failure as another.
SCENARIO("a frame is read", "[jsonrpc]")
{
  struct Row
  {
    const char* name;
    std::string bytes;
    ReasonCode code;
  };
  const std::vector<Row> rows{
    { "whole", Frame("12345678"), ReasonCode::None },
    { "none", "", ReasonCode::NotFound },
    { "above the limit", Frame("123456789"), ReasonCode::TooLarge },
    { "truncated length", "\x01", ReasonCode::ConnectionLostAfterWrite },
    { "truncated text",
      Frame("12345").substr(0, 7),
      ReasonCode::ConnectionLostAfterWrite },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name)
    {
      boost::asio::io_context context;
      tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      tcp::socket sender(context);
      sender.connect(acceptor.local_endpoint());
      tcp::socket receiver = acceptor.accept();
      boost::asio::write(sender, boost::asio::buffer(row.bytes));
      sender.close();
      FailureReason reason;
      std::optional<std::string> text;
      boost::asio::co_spawn(
        context,
        [&]() -> Task<> { text = co_await ReadFrame(receiver, 8, reason); },
        boost::asio::detached);
      context.run();
      CHECK(text.has_value() == (row.code == ReasonCode::None));
      CHECK(reason.code == row.code);
    }
  }
}

// Guards against a client that waits forever or reports the wrong failure.
SCENARIO("a daemon cannot be reached", "[jsonrpc]")
{
  FailureReason reason;
  boost::asio::io_context context;
  tcp::acceptor listener(
    context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string address = PrintEndpoint(listener.local_endpoint());
  GIVEN("a daemon that accepts and stays silent")
  {
    OperatorClient client(address, 50ms);
    THEN("the call ends at its timeout")
    {
      CHECK_FALSE(client.Call("status", "{}", reason).has_value());
      CHECK(reason.code == ReasonCode::ResponseTimeout);
      CHECK(reason.place == address);
      CHECK(IsUnreachable(reason.code));
    }
  }
  GIVEN("no daemon at the address")
  {
    listener.close();
    OperatorClient client(address, kAnswerTimeout);
    THEN("the connection is refused")
    {
      CHECK_FALSE(client.Call("status", "{}", reason).has_value());
      CHECK(reason.code == ReasonCode::ConnectRefused);
      CHECK(reason.place == address);
    }
  }
  GIVEN("invalid addresses")
  {
    for (const char* bad : { "",
                             "127.0.0.1",
                             "localhost:80",
                             "127.0.0.1:",
                             "127.0.0.1:70000",
                             "127.0.0.1:80x" }) {
      OperatorClient client(bad, kAnswerTimeout);
      CHECK_FALSE(client.Call("status", "{}", reason).has_value());
      CHECK(reason.code == ReasonCode::InvalidArgument);
    }
  }
}

// Guards against a stop that drops the answer of a call in progress, and
// against silent clients that use up the daemon's connections.
SCENARIO("a daemon closes its connections", "[jsonrpc][concurrent]")
{
  GIVEN("a client that stays silent beyond the idle timeout")
  {
    Daemon daemon({ .idleTimeout = 20ms });
    boost::asio::io_context context;
    tcp::socket socket(context);
    FailureReason reason;
    socket.connect(*ParseEndpoint(daemon.address, reason));
    THEN("its connection is closed")
    {
      char byte = 0;
      boost::system::error_code error;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
      CHECK(error == boost::asio::error::eof);
    }
  }
  GIVEN("a client that stops within a frame")
  {
    Daemon daemon({ .frameTimeout = 20ms });
    boost::asio::io_context context;
    tcp::socket socket(context);
    FailureReason reason;
    socket.connect(*ParseEndpoint(daemon.address, reason));
    boost::asio::write(socket, boost::asio::buffer("\0\0\0\x09{", 5));
    THEN("its connection is closed")
    {
      char byte = 0;
      boost::system::error_code error;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
      CHECK(error);
    }
  }
  GIVEN("a call that is in progress when the daemon stops")
  {
    Daemon daemon;
    OperatorClient client(daemon.address, kAnswerTimeout);
    FailureReason reason;
    THEN("it is answered, and the connection ends")
    {
      CHECK(client.Call("stop", "{}", reason) == "{}");
      CHECK_FALSE(client.Call("status", "{}", reason).has_value());
      CHECK(IsUnreachable(reason.code));
    }
  }
  GIVEN("a listener that also speaks another protocol")
  {
    Daemon daemon;
    daemon.server.SetFallbackHandler([](tcp::socket aSocket) -> Task<> {
      tcp::socket socket = std::move(aSocket);
      std::string text(3, ' ');
      co_await boost::asio::async_read(
        socket, boost::asio::buffer(text), boost::asio::use_awaitable);
      co_await boost::asio::async_write(
        socket, boost::asio::buffer("got " + text), boost::asio::use_awaitable);
    });
    THEN("the other protocol gets every byte of its connection")
    {
      CHECK(Exchange(daemon.address, "GET") == "got GET");
    }
  }
}
