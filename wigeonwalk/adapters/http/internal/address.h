// Parsing of "IP:port" into a TCP endpoint.
#pragma once

#include "wigeonwalk/base/last_reason.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace wigeonwalk {

// Returns the endpoint of "127.0.0.1:80" or "[::1]:80". Names are not resolved:
// hosts are known by IP number.
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress, LastReason& aReason);

} // namespace wigeonwalk
