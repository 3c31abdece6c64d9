#include "wigeonwalk/adapters/clock/system_timer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <ctime>
#include <utility>

namespace wigeonwalk {

namespace {

Duration
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::duration_cast<Duration>(
           std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

SystemTimer::SystemTimer(boost::asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
  , wallStart(
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()))
  , bootTimeStart(BootTime())
{
}

TimePoint
SystemTimer::Now() const
{
  return this->wallStart + (BootTime() - this->bootTimeStart);
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
