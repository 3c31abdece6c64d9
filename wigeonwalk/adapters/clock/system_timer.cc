#include "wigeonwalk/adapters/clock/system_timer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonwalk {

SystemTimer::SystemTimer(boost::asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
  , wallStart(
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()))
  , monotonicStart(std::chrono::steady_clock::now())
{
}

TimePoint
SystemTimer::Now() const
{
  return this->wallStart +
         std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              this->monotonicStart);
}

Task<void>
SystemTimer::WaitUntil(TimePoint aTime)
{
  const TimePoint now = this->Now();
  if (aTime <= now) {
    co_return;
  }
  boost::asio::steady_timer timer(this->executor, aTime - now);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace wigeonwalk
