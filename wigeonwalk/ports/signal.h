// A wake-up from one coroutine to others on the same I/O thread.
//
//   Signal signal;
//   co_await signal.Wait();   // in one coroutine
//   signal.Notify();          // in another one
#pragma once

#include "wigeonwalk/ports/task.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <memory>
#include <utility>

namespace wigeonwalk {

// Coroutines that wait until they are notified. Uses no thread while they wait.
// One thread only. It may end before its waits, as it does when a context
// destroys coroutines that were still waiting.
class Signal
{
private:
  using Waits = std::list<boost::asio::steady_timer*>;

public:
  // Waits for the next Notify. A notification before the call is not seen.
  // Cancellation of the coroutine ends the wait.
  Task<void> Wait()
  {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(
      executor, boost::asio::steady_timer::time_point::max());
    const Entry entry(this->waiting, timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  // Resumes all coroutines that wait now.
  void Notify()
  {
    for (boost::asio::steady_timer* timer : *this->waiting) {
      timer->cancel();
    }
  }

private:
  // Lists a timer while its wait lasts.
  struct Entry
  {
    Entry(std::shared_ptr<Waits> aWaiting, boost::asio::steady_timer& aTimer)
      : waiting(std::move(aWaiting))
      , place(this->waiting->insert(this->waiting->end(), &aTimer))
    {
    }
    ~Entry() { this->waiting->erase(this->place); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    std::shared_ptr<Waits> waiting;
    Waits::iterator place;
  };

  std::shared_ptr<Waits> waiting = std::make_shared<Waits>();
};

} // namespace wigeonwalk
