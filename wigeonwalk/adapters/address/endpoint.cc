#include "wigeonwalk/adapters/address/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace wigeonwalk {

std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText, FailureReason& aReason)
{
  const std::size_t colon = aText.rfind(':');
  std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const char* begin = colon == std::string::npos ? end : &aText[colon] + 1;
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(aReason,
                ReasonCode::InvalidArgument,
                "expected IP:port such as \"127.0.0.1:9000\"",
                aText);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string
PrintEndpoint(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  const std::string host = aEndpoint.address().to_string();
  return (aEndpoint.address().is_v6() ? "[" + host + "]" : host) + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace wigeonwalk
