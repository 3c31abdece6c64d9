#include "wigeonwalk/adapters/jsonrpc/frames.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdint>

namespace wigeonwalk {

namespace {

using Header = std::array<unsigned char, 4>;

// Frames are read in chunks, so that memory grows with the bytes received and
// not with the length that the peer states.
constexpr std::size_t kReadChunkBytes = 64 * 1024;

} // namespace

Task<std::optional<std::string>>
ReadFrame(boost::asio::ip::tcp::socket& aSocket,
          std::size_t aLimit,
          FailureReason& aReason)
{
  Header header{};
  boost::system::error_code error;
  auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
  const std::size_t got = co_await boost::asio::async_read(
    aSocket, boost::asio::buffer(header), token);
  if (error) {
    co_return Fail(aReason,
                   got == 0 ? ReasonCode::NotFound
                            : ReasonCode::ConnectionLostAfterWrite,
                   got == 0 ? "the connection ended"
                            : "the connection ended within a frame");
  }
  std::size_t length = 0;
  for (const unsigned char byte : header) {
    length = length << 8 | byte;
  }
  if (length > aLimit) {
    co_return Fail(aReason,
                   ReasonCode::TooLarge,
                   "frame of " + std::to_string(length) + " bytes; at most " +
                     std::to_string(aLimit));
  }
  std::string text;
  while (text.size() < length) {
    const std::size_t before = text.size();
    text.resize(std::min(length, before + kReadChunkBytes));
    co_await boost::asio::async_read(
      aSocket,
      boost::asio::buffer(text.data() + before, text.size() - before),
      token);
    if (error) {
      co_return Fail(aReason,
                     ReasonCode::ConnectionLostAfterWrite,
                     "the connection ended within a frame");
    }
  }
  co_return text;
}

Task<bool>
WriteFrame(boost::asio::ip::tcp::socket& aSocket,
           const std::string& aText,
           FailureReason& aReason)
{
  const auto size = static_cast<std::uint32_t>(aText.size());
  const Header header{ static_cast<unsigned char>(size >> 24),
                       static_cast<unsigned char>(size >> 16),
                       static_cast<unsigned char>(size >> 8),
                       static_cast<unsigned char>(size) };
  const std::array<boost::asio::const_buffer, 2> buffers{
    boost::asio::buffer(header), boost::asio::buffer(aText)
  };
  boost::system::error_code error;
  co_await boost::asio::async_write(
    aSocket,
    buffers,
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  if (error) {
    Fail(aReason, ReasonCode::ConnectionLostAfterWrite, error.message());
  }
  co_return !error;
}

} // namespace wigeonwalk
