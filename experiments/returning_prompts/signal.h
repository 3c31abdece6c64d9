// An event that coroutines in virtual time can wait for.
//
//   Signal done(time);
//   co_await done.Wait();   // until another coroutine calls done.Notify()
#pragma once

#include "wigeonwalk/testing/virtual_time.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wigeonwalk::replay {

// Stays set from Notify until Reset. One thread only.
class Signal
{
public:
  explicit Signal(VirtualTime& aTime)
    : timer(aTime.Context(), boost::asio::steady_timer::time_point::max())
  {
  }

  void Notify()
  {
    this->set = true;
    this->timer.cancel();
  }

  void Reset() { this->set = false; }

  Task<void> Wait()
  {
    while (!this->set) {
      boost::system::error_code error;
      co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
  }

private:
  boost::asio::steady_timer timer;
  bool set = false;
};

} // namespace wigeonwalk::replay
