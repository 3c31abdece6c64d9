// Virtual time for tests and benchmarks: runs coroutines without waiting.
//
//   VirtualTime time;
//   time.Spawn(RunPeer(time, channel));
//   time.RunUntil(time.Now() + std::chrono::seconds(30));
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

namespace wigeonwalk {

// A Timer whose time advances only while RunUntil or RunUntilIdle runs.
// Coroutines that wait for the same time resume in the order in which they
// began to wait, so a run with fixed seeds is deterministic. One thread only.
class VirtualTime
{
public:
  explicit VirtualTime(TimePoint aStart = TimePoint(std::chrono::hours(24)));

  TimePoint Now() const { return this->now; }
  Task<void> WaitUntil(TimePoint aTime);

  // Starts a coroutine. An exception that escapes it is rethrown by the call of
  // RunUntil or RunUntilIdle that resumed it.
  void Spawn(Task<void> aTask);

  // Runs all coroutines up to a time, which is the present time afterwards.
  void RunUntil(TimePoint aTime);

  // Runs until no coroutine waits for a time up to the limit.
  void RunUntilIdle(TimePoint aLimit);

  boost::asio::io_context& Context() { return this->context; }

private:
  using Key = std::pair<TimePoint, std::uint64_t>;

  void RunReady();

  TimePoint now;
  std::uint64_t sequence = 0;
  boost::asio::io_context context;
  std::map<Key, std::shared_ptr<boost::asio::steady_timer>> waiting;
};

static_assert(Timer<VirtualTime>);

} // namespace wigeonwalk
