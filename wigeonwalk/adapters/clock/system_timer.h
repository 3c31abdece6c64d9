// The system clock as a Timer.
//
//   SystemTimer timer(context.get_executor());
//   co_await timer.WaitUntil(timer.Now() + std::chrono::seconds(1));
#pragma once

#include "wigeonwalk/ports/clock.h"

#include <boost/asio/any_io_executor.hpp>

namespace wigeonwalk {

// Wall-clock time without steps for the life of the process: the wall clock is
// read once, at construction, and the time elapsed on CLOCK_BOOTTIME is added.
// CLOCK_BOOTTIME includes the time for which the host was suspended, so a lease
// that expired during a suspension is seen as expired. For use on one I/O
// thread.
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
