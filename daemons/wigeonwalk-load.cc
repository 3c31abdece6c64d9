// Load generator: sends requests to entry addresses and reports the results.
//
//   wigeonwalk-load --entry 127.0.0.1:8000 --service route-assistant --key KEY

#include "wigeonwalk/load/load_run.h"

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <fstream>
#include <iostream>

using namespace wigeonwalk;

namespace {

// Exit codes: 1 if some calls failed, which is expected under injected faults;
// 3 if an invariant was violated, which no fault excuses.
constexpr int kFailedCalls = 1;
constexpr int kInvariantViolated = 3;

void
AddOptions(CLI::App& aApp, LoadPlan& aPlan, std::uint32_t& aIntervalMs)
{
  aApp.add_option("--entry", aPlan.entries, "Entry address, IP:port")
    ->required();
  aApp.add_option("--key", aPlan.key, "API key")->required();
  aApp
    .add_option(
      "--service", aPlan.service, "Service that completions are sent to")
    ->required();
  aApp.add_option("--booking-service", aPlan.bookingService);
  aApp.add_option("--booking-address",
                  aPlan.bookingAddress,
                  "Address of the stand-in service, to check its runs");
  aApp.add_option("--engine-version",
                  aPlan.version,
                  "Weight version of the stand-in engines, to check answers");
  aApp.add_option("--prompts", aPlan.prompts, "Number of distinct prompts");
  aApp.add_option(
    "--returns", aPlan.returns, "How often each prompt is sent again");
  aApp.add_option("--prompt-tokens", aPlan.promptTokens);
  aApp.add_option("--added-tokens", aPlan.addedTokens);
  aApp.add_option("--max-tokens", aPlan.maxTokens);
  aApp.add_option("--bookings", aPlan.bookings);
  aApp.add_option("--seed", aPlan.seed);
  aApp.add_option(
    "--interval-ms", aIntervalMs, "Mean time between two arrivals");
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app(
    "Load generator for wigeonwalk: prompts that return, and bookings");
  LoadPlan plan;
  std::uint32_t intervalMs = 50;
  std::uint32_t gapMs = 2000;
  bool json = false;
  AddOptions(app, plan, intervalMs);
  app.add_option("--gap-ms", gapMs, "Time before a prompt is sent again");
  app.add_flag("--json", json, "Print JSON instead of a table");
  app.set_version_flag("--version", "wigeonwalk-load 0.1.0");
  CLI11_PARSE(app, argc, argv);
  plan.interval = std::chrono::milliseconds(std::max(intervalMs, 1U));
  plan.gap = std::chrono::milliseconds(gapMs);

  boost::asio::io_context context(1);
  SystemTimer timer(context.get_executor());
  LoadRun run(plan, timer, context.get_executor());
  boost::asio::co_spawn(context, run.Run(), boost::asio::detached);
  context.run();
  std::cout << (json ? run.Report().ToJson() : run.Report().ToTable());
  for (const std::string& line : run.Violations()) {
    std::cout << "BROKEN " << line << '\n';
  }
  if (!run.Violations().empty()) {
    return kInvariantViolated;
  }
  return run.Report().Failed() == 0 ? 0 : kFailedCalls;
}
