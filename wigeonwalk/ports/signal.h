// Wakes up coroutines that wait on the same I/O thread, like a condition
// variable.
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

// Lets coroutines wait until they are notified, without blocking a thread. Not
// thread-safe. May be destroyed before its waits end, as happens when an I/O
// context destroys coroutines that still wait.
class Signal
{
private:
  using TimerList = std::list<boost::asio::steady_timer*>;

public:
  // Waits for the next Notify. Earlier notifications have no effect. Cancelling
  // the coroutine ends the wait.
  Task<void> Wait()
  {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(
      executor, boost::asio::steady_timer::time_point::max());
    const ListedTimer listed(this->waiting, timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  // Resumes all coroutines that are waiting at the time of the call.
  void Notify()
  {
    for (boost::asio::steady_timer* timer : *this->waiting) {
      timer->cancel();
    }
  }

private:
  // Keeps a timer in `waiting` for the duration of its wait.
  struct ListedTimer
  {
    ListedTimer(std::shared_ptr<TimerList> aWaiting,
                boost::asio::steady_timer& aTimer)
      : waiting(std::move(aWaiting))
      , position(this->waiting->insert(this->waiting->end(), &aTimer))
    {
    }
    ~ListedTimer() { this->waiting->erase(this->position); }
    ListedTimer(const ListedTimer&) = delete;
    ListedTimer& operator=(const ListedTimer&) = delete;

    std::shared_ptr<TimerList> waiting;
    TimerList::iterator position;
  };

  std::shared_ptr<TimerList> waiting = std::make_shared<TimerList>();
};

} // namespace wigeonwalk
