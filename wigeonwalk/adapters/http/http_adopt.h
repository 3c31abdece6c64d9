// Wraps a socket accepted by another listener in an HttpConnection.
//
//   HttpConnection connection = AdoptConnection(std::move(socket), {});
#pragma once

#include "wigeonwalk/adapters/http/http_connection.h"

#include <boost/asio/ip/tcp.hpp>

namespace wigeonwalk {

HttpConnection
AdoptConnection(boost::asio::ip::tcp::socket aSocket, HttpLimits aLimits);

} // namespace wigeonwalk
