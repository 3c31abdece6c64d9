// Measures the round trip of a job between the I/O thread and the pool, and the
// CPU time of an idle pool. Results are printed, not asserted.

#include "wigeonwalk/adapters/cpu/cpu_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <benchmark/benchmark.h>

#include <chrono>
#include <ctime>
#include <thread>

namespace wigeonwalk {
namespace {

void
RoundTrip(benchmark::State& aState)
{
  boost::asio::io_context context;
  CpuPool pool(2);
  for ([[maybe_unused]] auto step : aState) {
    boost::asio::co_spawn(
      context,
      [&pool]() -> Task<> { co_await pool.RunOnPool([] {}); },
      boost::asio::detached);
    context.run();
    context.restart();
  }
}
BENCHMARK(RoundTrip)->UseRealTime();

// Share of a core that the whole process uses while the pool is idle.
void
IdlePool(benchmark::State& aState)
{
  boost::asio::io_context context;
  CpuPool pool(4);
  boost::asio::co_spawn(
    context,
    [&pool]() -> Task<> { co_await pool.RunOnPool([] {}); },
    boost::asio::detached);
  context.run();
  std::clock_t used = 0;
  for ([[maybe_unused]] auto step : aState) {
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    used += std::clock() - before;
  }
  aState.counters["idle_core_share"] = static_cast<double>(used) /
                                       CLOCKS_PER_SEC /
                                       static_cast<double>(aState.iterations());
}
BENCHMARK(IdlePool)->Iterations(3)->UseRealTime();

} // namespace
} // namespace wigeonwalk

BENCHMARK_MAIN();
