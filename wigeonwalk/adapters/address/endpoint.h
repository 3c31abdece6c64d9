// Parsing and printing of TCP endpoints as "IP:port", with IPv6 addresses in
// brackets.
//
//   auto endpoint = ParseEndpoint("127.0.0.1:9000", reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace wigeonwalk {

// Parses "IP:port". Returns nullopt with InvalidArgument for any other text.
std::optional<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText, FailureReason& aReason);

std::string
PrintEndpoint(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace wigeonwalk
