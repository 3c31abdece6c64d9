// A peer that answers requests with given bytes, whether or not they are valid
// HTTP. For tests over loopback sockets.
//
//   TestPeer peer(context.get_executor());
//   peer.answers = { { "HTTP/1.1 200 OK\r\n\r\nbody", PeerEnd::Close } };
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace wigeonwalk {

// What the peer does after the bytes of an answer.
enum class PeerEnd
{
  KeepOpen,
  Close,
  Reset,
  // Repeats the answer's last part, up to kMaxRepeatedBytes, until the
  // connection is closed.
  Repeat,
};

template<>
struct EnumNames<PeerEnd>
{
  static constexpr std::array<EnumName<PeerEnd>, 4> kTable{ {
    { PeerEnd::KeepOpen, "keep-open" },
    { PeerEnd::Close, "close" },
    { PeerEnd::Reset, "reset" },
    { PeerEnd::Repeat, "repeat" },
  } };
};
static_assert(HasCompleteTable<PeerEnd>());

struct PeerAnswer
{
  std::string bytes;
  PeerEnd end = PeerEnd::KeepOpen;
  std::string repeated;
  // Between two repeated parts, so that they arrive one at a time.
  std::chrono::milliseconds pause{ 0 };
};

// Stops a test from using up the memory if the client reads without end.
inline constexpr std::size_t kMaxRepeatedBytes = 64 * 1024 * 1024;

// Writes an answer to a connection. Returns false if the connection has ended.
inline Task<bool>
WritePeerAnswer(boost::asio::ip::tcp::socket& aSocket,
                const PeerAnswer& aAnswer)
{
  boost::system::error_code error;
  co_await boost::asio::async_write(
    aSocket,
    boost::asio::buffer(aAnswer.bytes),
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  boost::asio::steady_timer timer(aSocket.get_executor());
  std::size_t repeatedBytes = 0;
  while (aAnswer.end == PeerEnd::Repeat && !error &&
         repeatedBytes < kMaxRepeatedBytes) {
    if (aAnswer.pause.count() > 0) {
      timer.expires_after(aAnswer.pause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    repeatedBytes += co_await boost::asio::async_write(
      aSocket,
      boost::asio::buffer(aAnswer.repeated),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }
  if (aAnswer.end == PeerEnd::Reset) {
    // Only an explicit close honours the option.
    aSocket.set_option(boost::asio::socket_base::linger(true, 0));
    aSocket.close();
    co_return false;
  }
  co_return aAnswer.end != PeerEnd::Close && !error;
}

// Takes one answer for each request; requests have no body. The last answer is
// used again.
class TestPeer
{
public:
  explicit TestPeer(boost::asio::any_io_executor aExecutor)
    : acceptor(aExecutor, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    boost::asio::co_spawn(aExecutor, this->Accept(), boost::asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  std::deque<PeerAnswer> answers;
  int connections = 0;
  int requests = 0;

private:
  using Socket = boost::asio::ip::tcp::socket;

  Task<void> Accept()
  {
    while (true) {
      Socket socket =
        co_await this->acceptor.async_accept(boost::asio::use_awaitable);
      ++this->connections;
      boost::asio::co_spawn(this->acceptor.get_executor(),
                            this->Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  Task<void> Serve(Socket aSocket)
  {
    std::string buffer;
    while (true) {
      boost::system::error_code error;
      const std::size_t head = co_await boost::asio::async_read_until(
        aSocket,
        boost::asio::dynamic_buffer(buffer),
        "\r\n\r\n",
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      buffer.erase(0, head);
      ++this->requests;
      const PeerAnswer answer = this->answers.front();
      if (this->answers.size() > 1) {
        this->answers.pop_front();
      }
      const bool keepOpen = co_await WritePeerAnswer(aSocket, answer);
      if (!keepOpen) {
        co_return;
      }
    }
  }

  boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace wigeonwalk
