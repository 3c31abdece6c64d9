#include "wigeonwalk/adapters/http/internal/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace wigeonwalk {

std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress, LastReason& aReason)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return Fail(
      aReason, ReasonCode::InvalidArgument, "expected IP:port", aAddress);
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(
      aReason, ReasonCode::InvalidArgument, "expected IP:port", aAddress);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace wigeonwalk
