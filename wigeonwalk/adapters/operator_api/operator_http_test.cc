#include "wigeonwalk/adapters/operator_api/operator_http.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace wigeonwalk;
using boost::asio::ip::tcp;

// Guards against a scraper or a load balancer that gets another page than it
// asked for, and against requests that crash or hold the listener.
SCENARIO("a scraper asks for a page", "[operator]")
{
  struct Row
  {
    const char* name;
    std::string request;
    const char* start;
    const char* part;
  };
  const std::string host = "Host: a\r\n\r\n";
  const std::vector<Row> rows{
    { "metrics",
      "GET /metrics HTTP/1.1\r\n" + host,
      "HTTP/1.1 200",
      "\r\n\r\nm 1\n" },
    { "a query",
      "GET /metrics?x=1 HTTP/1.1\r\n" + host,
      "HTTP/1.1 200",
      "m 1" },
    { "failing health",
      "GET /health HTTP/1.1\r\n" + host,
      "HTTP/1.1 503",
      "stopping" },
    { "unknown page", "GET /x HTTP/1.1\r\n" + host, "HTTP/1.1 404", "no such" },
    { "another method",
      "DELETE /metrics HTTP/1.1\r\n" + host,
      "HTTP/1.1 405",
      "only GET" },
    { "not HTTP", "hello\r\n\r\n", "", "" },
    { "cut off", "GET /metr", "", "" },
    { "too long",
      "GET /metrics HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n" + host,
      "",
      "" },
  };
  const OperatorPages pages =
    [](const std::string& aPath) -> std::optional<OperatorPage> {
    if (aPath == "/metrics") {
      return OperatorPage{ .body = "m 1\n" };
    }
    if (aPath == "/health") {
      return OperatorPage{ .status = 503, .body = "stopping\n" };
    }
    return std::nullopt;
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name)
    {
      boost::asio::io_context context;
      tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      tcp::socket client(context);
      client.connect(acceptor.local_endpoint());
      tcp::socket accepted = acceptor.accept();
      boost::asio::write(client, boost::asio::buffer(row.request));
      client.shutdown(tcp::socket::shutdown_send);
      boost::asio::co_spawn(context,
                            ServeOperatorHttp(std::move(accepted), pages),
                            boost::asio::detached);
      context.run();
      std::string answer;
      boost::system::error_code ignored;
      boost::asio::read(client, boost::asio::dynamic_buffer(answer), ignored);
      INFO(answer);
      CHECK(answer.empty() == (*row.start == '\0'));
      CHECK(answer.starts_with(row.start));
      CHECK(answer.find(row.part) != std::string::npos);
    }
  }
}
