// A small HTTP/1.1 server on loopback, one thread for each connection, and a
// client for one exchange.
//
//   HttpServer server;
//   server.Start([](HttpSession& aSession, const Request& aRequest) { ... });
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string
FieldOf(const Request& aRequest, const std::string& aName)
{
  return std::string(aRequest[aName]);
}

// One connection of a server.
class HttpSession
{
public:
  explicit HttpSession(Tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  // Writes a complete response. Returns false if the peer has closed.
  bool Answer(unsigned aStatus,
              const std::string& aBody,
              const Fields& aFields = {})
  {
    http::response<http::string_body> answer(static_cast<http::status>(aStatus),
                                             11);
    for (const auto& [name, value] : aFields) {
      answer.set(name, value);
    }
    answer.body() = aBody;
    answer.prepare_payload();
    boost::system::error_code error;
    http::write(this->socket, answer, error);
    return !error;
  }

  bool Write(const std::string& aBytes)
  {
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(aBytes), error);
    return !error;
  }

  // Returns true if the peer has closed the connection.
  bool IsClosed()
  {
    char byte = 0;
    const ssize_t size =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
  }

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

// The handler returns false to close the connection.
class HttpServer
{
public:
  using Handler = std::function<bool(HttpSession&, const Request&)>;

  void Start(Handler aHandler)
  {
    this->acceptor.emplace(this->context,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->port = this->acceptor->local_endpoint().port();
    this->handler = std::move(aHandler);
    std::thread([this] { this->Accept(); }).detach();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }

private:
  void Accept()
  {
    while (true) {
      boost::system::error_code error;
      Tcp::socket socket(this->context);
      this->acceptor->accept(socket, error);
      if (error) {
        continue;
      }
      socket.set_option(Tcp::no_delay(true), error);
      auto session = std::make_shared<HttpSession>(std::move(socket));
      std::thread([this, session] { this->Serve(*session); }).detach();
    }
  }

  void Serve(HttpSession& aSession)
  {
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(64 * 1024 * 1024);
      boost::system::error_code error;
      http::read(aSession.socket, aSession.buffer, parser, error);
      if (error || !this->handler(aSession, parser.get())) {
        aSession.Close();
        return;
      }
    }
  }

  asio::io_context context;
  std::optional<Tcp::acceptor> acceptor;
  std::uint16_t port = 0;
  Handler handler;
};

// A client's connection to an address "IP:port".
class HttpClient
{
public:
  explicit HttpClient(const std::string& aAddress)
    : socket(context)
  {
    const std::size_t colon = aAddress.rfind(':');
    const Tcp::endpoint endpoint(
      asio::ip::make_address(aAddress.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    this->socket.connect(endpoint, this->error);
    this->SetTimeout(15'000);
  }

  void SetTimeout(int aMilliseconds)
  {
    timeval time{ aMilliseconds / 1'000, (aMilliseconds % 1'000) * 1'000 };
    ::setsockopt(this->socket.native_handle(),
                 SOL_SOCKET,
                 SO_RCVTIMEO,
                 &time,
                 sizeof(time));
  }

  bool Send(const std::string& aMethod,
            const std::string& aTarget,
            const Fields& aFields,
            const std::string& aBody = {})
  {
    if (this->error) {
      return false;
    }
    Request request;
    request.version(11);
    request.method_string(aMethod);
    request.target(aTarget);
    for (const auto& [name, value] : aFields) {
      request.set(name, value);
    }
    request.body() = aBody;
    request.prepare_payload();
    http::write(this->socket, request, this->error);
    return !this->error;
  }

  // Returns the complete response, or nothing if the connection ended first.
  std::optional<http::response<http::string_body>> Read()
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(64 * 1024 * 1024);
    http::read(this->socket, this->buffer, parser, this->error);
    if (this->error) {
      return std::nullopt;
    }
    return parser.release();
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  const boost::system::error_code& Error() const { return this->error; }

private:
  asio::io_context context;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
};

} // namespace review
