// Measures how fast documents propagate, what membership costs, and how both
// behave under faults, in virtual time with the real codec.
//
//   propagation_benchmark --scenario changes --members 350 --check
//   propagation_benchmark --json
#include "propagation/scenarios.h"

#include <CLI/CLI.hpp>

#include <cmath>
#include <cstdio>

using namespace wigeonwalk;
using namespace wigeonwalk::experiments;

namespace {

const std::vector<std::size_t> kSizes{ 6, 25, 100, 200, 350 };

struct Row
{
  Scenario scenario = Scenario::Changes;
  DisseminationStrategy strategy = DisseminationStrategy::ZoneFanOut;
  std::size_t members = 0;
  std::vector<Measurement> measurements;
};

void
Print(const Row& aRow, bool aJson, bool aFirst)
{
  const std::string scenario(NameOf(aRow.scenario));
  const std::string strategy(NameOf(aRow.strategy));
  if (aJson) {
    std::printf("%s{\"scenario\":\"%s\",\"spreading\":\"%s\",\"members\":%zu",
                aFirst ? "[" : ",\n",
                scenario.c_str(),
                strategy.c_str(),
                aRow.members);
    for (const Measurement& measurement : aRow.measurements) {
      std::printf(",\"%s\":%.6g", measurement.name.c_str(), measurement.value);
    }
    std::printf("}");
    std::fflush(stdout);
    return;
  }
  std::printf(
    "%s, %s, %zu members\n", scenario.c_str(), strategy.c_str(), aRow.members);
  for (const Measurement& measurement : aRow.measurements) {
    std::printf("  %-28s %12.4g", measurement.name.c_str(), measurement.value);
    if (measurement.bound) {
      std::printf("  bound %g%s",
                  *measurement.bound,
                  measurement.IsWithinBound() ? "" : "  MISSED");
    }
    std::printf("\n");
  }
  std::fflush(stdout);
}

// Fits a figure as a linear function of the number of members by least squares,
// and prints its intercept and its slope with the standard error. Prints
// nothing for fewer than three fleet sizes.
void
PrintSlope(const std::vector<Row>& aRows, const char* aName, bool aJson)
{
  std::vector<std::pair<double, double>> points;
  for (const Row& row : aRows) {
    for (const Measurement& measurement : row.measurements) {
      if (measurement.name == aName && row.scenario == Scenario::Changes) {
        points.emplace_back(static_cast<double>(row.members),
                            measurement.value);
      }
    }
  }
  if (points.size() < 3) {
    return;
  }
  const auto count = static_cast<double>(points.size());
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : points) {
    meanX += x / count;
    meanY += y / count;
  }
  double xx = 0;
  double xy = 0;
  for (const auto& [x, y] : points) {
    xx += (x - meanX) * (x - meanX);
    xy += (x - meanX) * (y - meanY);
  }
  const double slope = xy / xx;
  const double base = meanY - slope * meanX;
  double residual = 0;
  for (const auto& [x, y] : points) {
    residual += std::pow(y - base - slope * x, 2);
  }
  const double error = std::sqrt(residual / (count - 2) / xx);
  std::printf(aJson ? ",\n{\"slope_of\":\"%s\",\"base\":%.6g,\"slope\":%.6g,"
                      "\"standard_error\":%.6g}"
                    : "%s = %.4g + %.4g (+- %.2g) x members\n",
              aName,
              base,
              slope,
              error);
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Measures membership and the propagation of documents");
  std::string scenario = "changes";
  std::string strategy = "zone-fan-out";
  std::vector<std::size_t> members = kSizes;
  FleetSettings settings;
  bool check = false;
  bool json = false;
  app.add_option("--scenario",
                 scenario,
                 "changes, dead-watchers, detection, "
                 "lossy, zone-cut, region-cut, paused");
  app.add_option("--spreading",
                 strategy,
                 "zone-fan-out, random-fan-out, "
                 "relay-tree, digest-only, ...");
  app.add_option("--members", members, "numbers of members, one run for each");
  app.add_option("--seed", settings.seed, "seed of network delay and loss");
  app.add_option("--document-bytes", settings.documentBytes);
  app.add_flag("--check", check, "exit with 1 if a figure exceeds its bound");
  app.add_flag("--json", json, "print JSON for the capacity page");
  CLI11_PARSE(app, argc, argv);
  const auto chosenScenario = ParseName<Scenario>(scenario);
  const auto chosenStrategy = ParseName<DisseminationStrategy>(strategy);
  if (!chosenScenario || !chosenStrategy) {
    std::fprintf(stderr, "unknown scenario or spreading; see --help\n");
    return 2;
  }
  std::vector<Row> rows;
  bool met = true;
  for (const std::size_t size : members) {
    settings.members = size;
    rows.push_back({ *chosenScenario,
                     *chosenStrategy,
                     size,
                     Measure(*chosenScenario, *chosenStrategy, settings) });
    Print(rows.back(), json, rows.size() == 1);
    for (const Measurement& measurement : rows.back().measurements) {
      met = met && measurement.IsWithinBound();
    }
  }
  for (const char* name : { "bytes_per_s",
                            "messages_per_s",
                            "key_value_calls_per_s",
                            "core_share_percent",
                            "heap_bytes_per_member" }) {
    PrintSlope(rows, name, json);
  }
  if (json) {
    std::printf("]\n");
  }
  return check && !met ? 1 : 0;
}
