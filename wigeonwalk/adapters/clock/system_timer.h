// The system clock as a Timer.
//
//   SystemTimer timer(context.get_executor());
//   co_await timer.WaitUntil(timer.Now() + std::chrono::seconds(1));
#pragma once

#include "wigeonwalk/ports/clock.h"

#include <boost/asio/any_io_executor.hpp>

namespace wigeonwalk {

// Wall-clock time that never steps within the process: the wall clock is read
// once, and the boot-time clock moves it on. That clock counts the time for
// which the host was suspended, so that a lease that ended meanwhile is found
// to be over. Safe for one I/O thread.
class SystemTimer
{
public:
  explicit SystemTimer(boost::asio::any_io_executor aExecutor);

  TimePoint Now() const;
  Task<void> WaitUntil(TimePoint aTime);

private:
  boost::asio::any_io_executor executor;
  TimePoint wallStart;
  Duration bootTimeStart;
};

static_assert(Timer<SystemTimer>);

} // namespace wigeonwalk
