// The entry daemon, which forwards callers' requests to registered runners.
//
//   wigeonwalk-entry --settings entry.json

#include "platform/entry_daemon.h"
#include "platform/registry_item_codec.h"
#include "wigeonwalk/adapters/settings/entry_settings_json.h"
#include "wigeonwalk/adapters/settings/settings_file.h"
#include "wigeonwalk/routing/configuration_check.h"

#include <CLI/CLI.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace wigeonwalk;

namespace {

// Exit codes: 0 after a normal shutdown, 1 for a failed start or a
// configuration with findings, 2 for invalid settings or an unreadable
// configuration.
constexpr int kFailedStart = 1;
constexpr int kHasFindings = 1;
constexpr int kBadSettings = 2;

// Handles the next signal and then waits for another one, until the process
// exits.
void
HandleNextSignal(boost::asio::signal_set& aSignals,
                 platform::EntryDaemon& aDaemon,
                 const std::string& aPath)
{
  aSignals.async_wait([&](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal != SIGHUP) {
      aDaemon.RequestStop();
    } else if (ReadSettingsFile(aPath, ParseEntrySettings)) {
      aDaemon.LogSettingsReload();
    }
    HandleNextSignal(aSignals, aDaemon, aPath);
  });
}

// Adds the regions that are given beside the settings file, which takes
// precedence. Returns false after printing the errors.
bool
AddRegions(const std::string& aText, EntrySettings& aSettings)
{
  if (aText.empty()) {
    return true;
  }
  std::vector<FailureReason> reasons;
  auto regions = ParseRegions(aText, reasons);
  for (const FailureReason& reason : reasons) {
    std::cerr << "--regions: " << reason.ToString() << '\n';
  }
  if (regions) {
    aSettings.regions.merge(*regions);
  }
  return regions.has_value();
}

// Reads a configuration as the operator would send it.
std::optional<RoutingConfiguration>
ReadConfiguration(const std::string& aPath)
{
  std::ifstream file(aPath);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  FailureReason reason;
  auto configuration = platform::DecodeConfiguration(text, reason);
  if (!configuration) {
    std::cerr << aPath << ": " << reason.ToString() << '\n';
  }
  return configuration;
}

// Prints what is wrong with a configuration and what it changes. Differences
// alone are no reason to fail.
int
CheckRouting(const std::string& aNext,
             const std::string& aInForce,
             const ZoneRegions& aRegions)
{
  const auto next = ReadConfiguration(aNext);
  if (!next) {
    return kBadSettings;
  }
  auto findings = CheckConfiguration(*next, aRegions);
  if (!aInForce.empty()) {
    const auto inForce = ReadConfiguration(aInForce);
    if (!inForce) {
      return kBadSettings;
    }
    const auto changes = CompareConfigurations(*inForce, *next);
    findings.insert(findings.end(), changes.begin(), changes.end());
  }
  int result = 0;
  for (const ConfigurationFinding& finding : findings) {
    std::cout << NameOf(finding.kind) << ": " << finding.place << ": "
              << finding.detail << '\n';
    result = finding.kind == FindingKind::Difference ? result : kHasFindings;
  }
  return result;
}

int
RunDaemon(EntrySettings aSettings, const std::string& aPath)
{
  boost::asio::io_context context(1);
  auto daemon =
    std::make_unique<platform::EntryDaemon>(context, std::move(aSettings));
  FailureReason reason;
  if (!daemon->Start(reason)) {
    std::cerr << "wigeonwalk-entry: " << reason.ToString() << '\n';
    return kFailedStart;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
  HandleNextSignal(signals, *daemon, aPath);
  context.run();
  // Coroutines that are still open refer to the daemon, so the process exits
  // without destroying them.
  daemon->FlushLog();
  std::quick_exit(0);
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("wigeonwalk entry daemon: forwards requests to model runners "
               "and plain services");
  std::string settingsFile;
  std::string regions;
  std::string routing;
  std::string inForce;
  bool check = false;
  app.add_option("--settings", settingsFile, "JSON file with the settings")
    ->required()
    ->check(CLI::ExistingFile);
  app
    .add_option("--regions",
                regions,
                "JSON object with the region of each availability zone, beside "
                "those of the settings file")
    ->envname("WIGEONWALK_REGIONS");
  app.add_flag("--check-config", check, "Check the settings and exit");
  auto* checkRouting = app
                         .add_option("--check-routing",
                                     routing,
                                     "JSON file with a configuration of the "
                                     "operator: check it and exit")
                         ->check(CLI::ExistingFile);
  app
    .add_option("--in-force",
                inForce,
                "JSON file with the configuration in force, to compare with")
    ->check(CLI::ExistingFile)
    ->needs(checkRouting);
  app.set_version_flag("--version", "wigeonwalk-entry 0.1.0");
  CLI11_PARSE(app, argc, argv);
  auto settings = ReadSettingsFile(settingsFile, ParseEntrySettings);
  if (!settings || !AddRegions(regions, *settings)) {
    return kBadSettings;
  }
  if (!routing.empty()) {
    return CheckRouting(routing, inForce, settings->regions);
  }
  return check ? 0 : RunDaemon(std::move(*settings), settingsFile);
}
