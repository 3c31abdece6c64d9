// Frames of an operator connection: four bytes of length, the highest first,
// then a JSON text.
//
//   auto text = co_await ReadFrame(socket, kMaxRequestBytes, reason);
//   co_await WriteFrame(socket, response, reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace wigeonwalk {

// Largest request: a document of 1 MB whose every byte is escaped in a JSON
// string as six.
inline constexpr std::size_t kMaxRequestBytes = 8 * 1024 * 1024;

// Largest response: a full ring of 65,536 events of about 0.5 KB.
inline constexpr std::size_t kMaxResponseBytes = 32 * 1024 * 1024;

// Returns the text of the next frame. Fails with NotFound where the connection
// ends before a frame begins, ConnectionLostAfterWrite where it ends within
// one, and TooLarge, without reading on, where the length exceeds the limit.
Task<std::optional<std::string>>
ReadFrame(boost::asio::ip::tcp::socket& aSocket,
          std::size_t aLimit,
          FailureReason& aReason);

// Sends one frame. Returns false where the connection is lost.
Task<bool>
WriteFrame(boost::asio::ip::tcp::socket& aSocket,
           const std::string& aText,
           FailureReason& aReason);

} // namespace wigeonwalk
