#include "wigeonwalk/adapters/http/http_listener.h"

#include "wigeonwalk/adapters/address/endpoint.h"
#include "wigeonwalk/adapters/http/http_adopt.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Delay after a failed accept, for example for lack of file descriptors, so
// that the loop does not spin.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

struct HttpListener::State
{
  State(asio::any_io_executor aExecutor, HttpLimits aLimits)
    : acceptor(aExecutor)
    , limits(aLimits)
  {
  }

  asio::ip::tcp::acceptor acceptor;
  HttpLimits limits;
  std::function<void()> makeRoom = [] {};
};

HttpListener::HttpListener(std::unique_ptr<State> aState)
  : state(std::move(aState))
{
}

HttpListener::HttpListener(HttpListener&&) noexcept = default;
HttpListener&
HttpListener::operator=(HttpListener&&) noexcept = default;
HttpListener::~HttpListener() = default;

std::optional<HttpListener>
HttpListener::Open(asio::any_io_executor aExecutor,
                   const std::string& aAddress,
                   HttpLimits aLimits,
                   FailureReason& aReason)
{
  const auto endpoint = ParseEndpoint(aAddress, aReason);
  if (!endpoint) {
    return std::nullopt;
  }
  auto listener = std::make_unique<State>(std::move(aExecutor), aLimits);
  error_code error;
  asio::ip::tcp::acceptor& acceptor = listener->acceptor;
  acceptor.open(endpoint->protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(aReason, ReasonCode::Unavailable, error.message(), aAddress);
  }
  return HttpListener(std::move(listener));
}

std::uint16_t
HttpListener::Port() const
{
  return this->state->acceptor.local_endpoint().port();
}

Task<std::optional<HttpConnection>>
HttpListener::Accept(FailureReason& aReason)
{
  while (this->state->acceptor.is_open()) {
    error_code error;
    asio::ip::tcp::socket socket(this->state->acceptor.get_executor());
    co_await this->state->acceptor.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      co_return AdoptConnection(std::move(socket), this->state->limits);
    }
    if (error == asio::error::operation_aborted) {
      break;
    }
    if (error == asio::error::no_descriptors) {
      this->state->makeRoom();
    }
    asio::steady_timer pause(this->state->acceptor.get_executor(),
                             kAcceptRetryDelay);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return Fail(aReason, ReasonCode::Cancelled, "listener closed");
}

void
HttpListener::OnNoDescriptors(std::function<void()> aMakeRoom)
{
  this->state->makeRoom = std::move(aMakeRoom);
}

void
HttpListener::Close()
{
  error_code ignored;
  this->state->acceptor.close(ignored);
}

} // namespace wigeonwalk
