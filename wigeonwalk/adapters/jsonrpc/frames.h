// Length-prefixed frames of an operator connection: a four-byte big-endian
// length, then a JSON text.
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

// Maximum request size: enough for a document of 1 MB in which every byte is
// escaped as six bytes of a JSON string.
inline constexpr std::size_t kMaxRequestBytes = 8 * 1024 * 1024;

// Maximum response size: a full ring of 65,536 timeline events of about 0.5 KB.
inline constexpr std::size_t kMaxResponseBytes = 32 * 1024 * 1024;

// Returns the text of the next frame. Fails with NotFound if the connection
// ends before a frame begins, ConnectionLostAfterWrite if it ends within a
// frame, and TooLarge, without reading further, if the length exceeds the
// limit.
Task<std::optional<std::string>>
ReadFrame(boost::asio::ip::tcp::socket& aSocket,
          std::size_t aLimit,
          FailureReason& aReason);

// Sends one frame. Returns false if the connection is lost.
Task<bool>
WriteFrame(boost::asio::ip::tcp::socket& aSocket,
           const std::string& aText,
           FailureReason& aReason);

} // namespace wigeonwalk
