#include "wigeonwalk/adapters/operator_api/operator_http.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace wigeonwalk {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

OperatorPage
PageOf(const http::request<http::empty_body>& aRequest,
       const OperatorPages& aPages)
{
  if (aRequest.method() != http::verb::get) {
    return { .status = 405, .body = "only GET is answered here\n" };
  }
  const std::string target(aRequest.target());
  auto page = aPages(target.substr(0, target.find('?')));
  return page ? std::move(*page)
              : OperatorPage{ .status = 404, .body = "no such page\n" };
}

} // namespace

Task<>
ServeOperatorHttp(boost::asio::ip::tcp::socket aSocket, OperatorPages aPages)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxPageRequestBytes);
  boost::system::error_code error;
  stream.expires_after(kPageTimeout);
  co_await http::async_read(
    stream,
    buffer,
    parser,
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  if (error) {
    co_return;
  }
  OperatorPage page = PageOf(parser.get(), aPages);
  http::response<http::string_body> response;
  response.result(page.status);
  response.set(http::field::content_type, page.contentType);
  response.keep_alive(false);
  response.body() = std::move(page.body);
  response.prepare_payload();
  stream.expires_after(kPageTimeout);
  co_await http::async_write(
    stream,
    response,
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  boost::system::error_code ignored;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                           ignored);
}

} // namespace wigeonwalk
