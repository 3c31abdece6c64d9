// A load run: prompts that come, leave and return longer, and bookings.
//
//   LoadRun run(plan, timer, executor);
//   co_await run.Run();
//   std::cout << run.Report().ToTable();
#pragma once

#include "wigeonwalk/load/run_report.h"
#include "wigeonwalk/ports/signal.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace wigeonwalk {

// What a run sends. Everything random follows from the seed.
struct LoadPlan
{
  std::vector<std::string> entries;
  std::string key;
  std::string service;
  std::string bookingService;
  std::string version = "1";
  std::uint32_t prompts = 20;
  std::uint32_t returns = 2;
  // Tokens of a first prompt, and those that each return adds.
  std::uint32_t promptTokens = 8192;
  std::uint32_t addedTokens = 512;
  std::uint32_t maxTokens = 16;
  std::uint32_t bookings = 0;
  // Mean time between two arrivals, and the gap before a return.
  Duration interval = std::chrono::milliseconds(50);
  Duration gap = std::chrono::seconds(2);
  std::uint64_t seed = 1;
};

// Runs one plan. One thread only; must outlive the run.
class LoadRun
{
public:
  LoadRun(LoadPlan aPlan,
          SystemTimer& aTimer,
          boost::asio::any_io_executor aExecutor);

  // Returns once every conversation and booking has ended.
  Task<void> Run();

  const RunReport& Report() const { return this->report; }

private:
  // One prompt from its first visit to its last return.
  Task<void> Converse(std::uint64_t aNumber, TimePoint aStart);
  Task<void> BookOnce(std::uint64_t aNumber, TimePoint aStart);
  void EndOne();

  LoadPlan plan;
  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  RunReport report;
  std::uint64_t open = 0;
  Signal ended;
};

} // namespace wigeonwalk
