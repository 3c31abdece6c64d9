#include "wigeonwalk/testing/virtual_time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include <exception>

namespace wigeonwalk {

VirtualTime::VirtualTime(TimePoint aStart)
  : now(aStart)
{
}

Task<void>
VirtualTime::WaitUntil(TimePoint aTime)
{
  if (aTime <= this->now) {
    co_return;
  }
  const Key key(aTime, this->sequence++);
  // The timer never expires; RunUntil cancels it when the time is reached.
  auto timer = std::make_shared<boost::asio::steady_timer>(
    this->context, boost::asio::steady_timer::time_point::max());
  this->waiting.emplace(key, timer);
  boost::system::error_code error;
  co_await timer->async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, error));
  this->waiting.erase(key);
  if (this->now < aTime) {
    throw boost::system::system_error(boost::asio::error::operation_aborted);
  }
}

void
VirtualTime::Spawn(Task<void> aTask)
{
  boost::asio::co_spawn(
    this->context, std::move(aTask), [](std::exception_ptr aError) {
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
}

void
VirtualTime::RunReady()
{
  this->context.restart();
  while (this->context.poll_one() > 0) {
  }
}

void
VirtualTime::RunUntil(TimePoint aTime)
{
  this->RunReady();
  while (!this->waiting.empty() &&
         this->waiting.begin()->first.first <= aTime) {
    const auto first = this->waiting.begin();
    this->now = std::max(this->now, first->first.first);
    const auto timer = first->second;
    this->waiting.erase(first);
    timer->cancel();
    this->RunReady();
  }
  this->now = std::max(this->now, aTime);
}

void
VirtualTime::RunUntilIdle(TimePoint aLimit)
{
  this->RunReady();
  while (!this->waiting.empty() &&
         this->waiting.begin()->first.first <= aLimit) {
    this->RunUntil(this->waiting.begin()->first.first);
  }
}

} // namespace wigeonwalk
