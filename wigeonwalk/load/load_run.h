// A load run: conversations that return after a pause with a longer prompt, and
// bookings.
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

// The load of a run. All random values derive from the seed.
struct LoadPlan
{
  std::vector<std::string> entries;
  std::string key;
  std::string service;
  std::string bookingService;
  // Address of the stand-in service whose run counts the bookings are checked
  // against; empty to skip the check.
  std::string bookingAddress;
  std::string version = "1";
  std::uint32_t prompts = 20;
  std::uint32_t returns = 2;
  // Tokens of the first prompt of a conversation, and tokens that each return
  // adds.
  std::uint32_t promptTokens = 8192;
  std::uint32_t addedTokens = 512;
  std::uint32_t maxTokens = 16;
  std::uint32_t bookings = 0;
  // Mean time between two arrivals, and time between two prompts of a
  // conversation.
  Duration interval = std::chrono::milliseconds(50);
  Duration gap = std::chrono::seconds(2);
  std::uint64_t seed = 1;
};

// Runs one plan. One thread only. Must outlive the coroutine of Run.
class LoadRun
{
public:
  LoadRun(LoadPlan aPlan,
          SystemTimer& aTimer,
          boost::asio::any_io_executor aExecutor);

  // Returns once every conversation and booking has ended.
  Task<void> Run();

  const RunReport& Report() const { return this->report; }

  // Bookings that contradict their verdict, one line each; see
  // RunReport::CheckBookings. Also has a line if the check could not be made.
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }

private:
  // Runs one conversation from its first prompt to its last return.
  Task<void> RunConversation(std::uint64_t aNumber, TimePoint aStart);
  Task<void> RunBooking(std::uint64_t aNumber, TimePoint aStart);
  Task<void> CheckBookings();
  void OnTaskEnd();

  LoadPlan plan;
  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  RunReport report;
  std::vector<std::string> violations;
  std::uint64_t openTasks = 0;
  Signal allTasksEnded;
};

} // namespace wigeonwalk
