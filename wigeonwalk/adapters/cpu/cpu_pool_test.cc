#include "wigeonwalk/adapters/cpu/cpu_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace wigeonwalk;

namespace {

// One-shot gate. A job waits for it, so that the test controls the order of
// events.
class Gate
{
public:
  void Open()
  {
    const std::lock_guard lock(this->mutex);
    this->open = true;
    this->changed.notify_all();
  }

  void Wait()
  {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->open; });
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  bool open = false;
};

} // namespace

// Guards against CPU work that blocks the I/O thread, and against coroutines
// that resume on a worker thread, where they would race with the daemon's
// state.
SCENARIO("a coroutine runs CPU work on the pool", "[cpu][concurrent]")
{
  boost::asio::io_context context;
  CpuPool pool(2);
  const auto ioThread = std::this_thread::get_id();
  const auto spawn = [&](auto aBody) {
    boost::asio::co_spawn(
      context, std::move(aBody), [](std::exception_ptr aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
  };

  GIVEN("work that returns a move-only value")
  {
    std::unique_ptr<std::string> result;
    std::thread::id worker;
    std::thread::id resumed;
    spawn([&]() -> Task<> {
      result = co_await pool.RunOnPool([&worker] {
        worker = std::this_thread::get_id();
        return std::make_unique<std::string>("keys");
      });
      resumed = std::this_thread::get_id();
    });
    context.run();
    THEN("it ran on a worker and the coroutine resumed on the I/O thread")
    {
      REQUIRE(result);
      CHECK(*result == "keys");
      CHECK(worker != ioThread);
      CHECK(resumed == ioThread);
    }
  }
  GIVEN("work that waits for another coroutine of the I/O thread")
  {
    Gate gate;
    std::string order;
    spawn([&]() -> Task<> {
      co_await pool.RunOnPool([&gate] { gate.Wait(); });
      order += "work ";
    });
    spawn([&]() -> Task<> {
      order += "other ";
      gate.Open();
      co_return;
    });
    context.run();
    THEN("the I/O thread was not blocked meanwhile")
    {
      CHECK(order == "other work ");
    }
  }
  GIVEN("work that throws")
  {
    spawn([&]() -> Task<> {
      co_await pool.RunOnPool([] { throw std::runtime_error("expected"); });
    });
    THEN("the coroutine gets the exception")
    {
      CHECK_THROWS_AS(context.run(), std::runtime_error);
    }
  }
  GIVEN("many coroutines that share state of the I/O thread")
  {
    constexpr int kJobs = 500;
    int sum = 0;
    for (int i = 0; i < kJobs; ++i) {
      spawn([&sum, &pool, i]() -> Task<> {
        sum += co_await pool.RunOnPool([i] { return i; });
      });
    }
    context.run();
    THEN("each result arrives once")
    {
      CHECK(sum == kJobs * (kJobs - 1) / 2);
    }
  }
}

// Guards against a shutdown that frees the pool while its jobs still run.
SCENARIO("a pool is destroyed while a job runs", "[cpu][concurrent]")
{
  boost::asio::io_context context;
  Gate started;
  bool done = false;
  {
    CpuPool pool(1);
    boost::asio::co_spawn(
      context,
      [&]() -> Task<> {
        co_await pool.RunOnPool([&] {
          started.Open();
          std::this_thread::yield();
          done = true;
        });
      },
      boost::asio::detached);
    context.poll();
    started.Wait();
  }
  CHECK(done);
}
