// The daemon that serves callers' requests with the upstreams.
//
//   wigeonwalkd --settings daemon.json

#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/settings_file.h"
#include "wigeonwalk/daemon/daemon.h"

#include <CLI/CLI.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace wigeonwalk;

namespace {

// Exit codes: 0 after a normal shutdown, 1 for a failed start, 2 for invalid
// settings.
constexpr int kFailedStart = 1;
constexpr int kBadSettings = 2;

// Exits the process without destroying the coroutines that are still open,
// because they refer to the daemon's state.
[[noreturn]] void
ExitProcess(Daemon& aDaemon, int aCode)
{
  aDaemon.FlushLog();
  std::quick_exit(aCode);
}

int
RunDaemon(DaemonSettings aSettings)
{
  boost::asio::io_context context(1);
  Daemon daemon(context, std::move(aSettings));
  FailureReason reason;
  if (!daemon.Start(reason)) {
    std::cerr << "wigeonwalkd: " << reason.ToString() << '\n';
    ExitProcess(daemon, kFailedStart);
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  std::function<void(boost::system::error_code, int)> onSignal =
    [&](boost::system::error_code aError, int) {
      if (!aError) {
        daemon.RequestStop();
        signals.async_wait(onSignal);
      }
    };
  signals.async_wait(onSignal);
  context.run();
  ExitProcess(daemon, 0);
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("wigeonwalk daemon: serves prompts that return after long gaps");
  std::string settingsFile;
  bool check = false;
  app.add_option("--settings", settingsFile, "JSON file with the settings")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_flag("--check-config", check, "Check the settings and exit");
  app.set_version_flag("--version", "wigeonwalkd 0.1.0");
  CLI11_PARSE(app, argc, argv);
  auto settings = ReadSettingsFile(settingsFile, ParseDaemonSettings);
  if (!settings) {
    return kBadSettings;
  }
  return check ? 0 : RunDaemon(std::move(*settings));
}
