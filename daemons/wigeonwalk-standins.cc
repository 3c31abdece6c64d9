// Runs stand-ins for the external systems on loopback: engines, store hosts,
// plain services and the key-value service.
//
//   wigeonwalk-standins --config standins.json

#include "wigeonwalk/standins/engine_standin.h"
#include "wigeonwalk/standins/key_value_standin.h"
#include "wigeonwalk/standins/plain_standin.h"
#include "wigeonwalk/standins/standin_settings.h"
#include "wigeonwalk/standins/store_standin.h"

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>

namespace asio = boost::asio;
using namespace wigeonwalk;

namespace {

// Runs one stand-in. Stops the process if it ends, because it can't listen.
template<typename Standin>
Task<void>
RunStandin(Standin& aStandin, asio::io_context& aContext, bool& aFailed)
{
  FailureReason reason;
  co_await aStandin.Run(reason);
  std::cerr << "stand-in stopped: " << reason.ToString() << '\n';
  aFailed = true;
  aContext.stop();
}

int
RunStandins(const StandinSettings& aSettings)
{
  asio::io_context context(1);
  SystemTimer timer(context.get_executor());
  HttpPool pool(timer, context.get_executor(), std::chrono::seconds(5));
  std::deque<EngineStandin> engines;
  std::deque<PlainStandin> services;
  std::deque<StoreStandin> stores;
  bool failed = false;
  const auto spawn = [&](auto& aStandin) {
    asio::co_spawn(
      context, RunStandin(aStandin, context, failed), asio::detached);
  };
  for (const EngineStandinSettings& engine : aSettings.engines) {
    spawn(engines.emplace_back(engine, timer, context.get_executor(), pool));
  }
  for (const std::string& address : aSettings.plainServices) {
    spawn(services.emplace_back(address, context.get_executor()));
  }
  for (const StoreStandinSettings& store : aSettings.stores) {
    spawn(stores.emplace_back(store, timer, context.get_executor()));
  }
  std::optional<KeyValueStandin> keyValue;
  if (!aSettings.keyValue.empty()) {
    spawn(keyValue.emplace(aSettings.keyValue, timer, context.get_executor()));
  }
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return failed ? 1 : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Stand-ins for the outside systems of wigeonwalk");
  std::string configFile;
  bool check = false;
  app.add_option("--config", configFile, "JSON file that lists the stand-ins")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_flag("--check-config", check, "Check the file and exit");
  app.set_version_flag("--version", "wigeonwalk-standins 0.1.0");
  CLI11_PARSE(app, argc, argv);

  std::ifstream file(configFile);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  FailureReason reason;
  const auto settings = ParseStandinSettings(text, reason);
  if (!settings) {
    std::cerr << configFile << ": " << reason.ToString() << '\n';
    return 2;
  }
  return check ? 0 : RunStandins(*settings);
}
