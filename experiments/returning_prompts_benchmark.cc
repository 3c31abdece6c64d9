// Replays seeded traces of returning prompts in virtual time, with the
// product's placement code and with simple baseline policies.
//
//   returning_prompts_benchmark --row reparto-90
//   returning_prompts_benchmark --row reparto-90 --check
//   returning_prompts_benchmark --list
#include "returning_prompts/replay.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace wigeonwalk::replay;

namespace {

struct Row
{
  const char* name;
  Site site;
  double load;
  Fault fault;
  // Multiplies the gaps before prompts return.
  double gapScale;

  // Returns true if runners evict the prompts before they return.
  bool EvictsPrompts() const { return this->gapScale >= 1; }
};

// Rows by deployment, load and fault. In the rows named "warm", gaps are so
// short that runners still hold the prompts; in all others, prompts are evicted
// before they return.
constexpr Row kRows[] = {
  { "reparto-60", Site::Reparto, 0.6, Fault::None, 1 },
  { "reparto-90", Site::Reparto, 0.9, Fault::None, 1 },
  { "reparto-120", Site::Reparto, 1.2, Fault::None, 1 },
  { "reparto-warm", Site::Reparto, 0.6, Fault::None, 0.01 },
  { "reparto-store-lost", Site::Reparto, 0.6, Fault::StoreLost, 1 },
  { "reparto-slow-link", Site::Reparto, 0.6, Fault::SlowLink, 1 },
  { "reparto-late-events", Site::Reparto, 0.6, Fault::LateEvents, 1 },
  { "reparto-zone-out", Site::Reparto, 0.6, Fault::ZoneOut, 1 },
  { "schleierpfad-60", Site::Schleierpfad, 0.6, Fault::None, 1 },
  { "schleierpfad-90", Site::Schleierpfad, 0.9, Fault::None, 1 },
  { "schleierpfad-120", Site::Schleierpfad, 1.2, Fault::None, 1 },
  { "schleierpfad-warm", Site::Schleierpfad, 0.6, Fault::None, 0.01 },
  { "schleierpfad-store-lost", Site::Schleierpfad, 0.6, Fault::StoreLost, 1 },
  { "schleierpfad-slow-link", Site::Schleierpfad, 0.6, Fault::SlowLink, 1 },
  { "schleierpfad-late-events", Site::Schleierpfad, 0.6, Fault::LateEvents, 1 },
  { "schleierpfad-zone-out", Site::Schleierpfad, 0.6, Fault::ZoneOut, 1 },
};

struct Result
{
  const char* policy;
  ReplayMetrics metrics;
};

template<Policy P>
Result
RunPolicy(const Row& aRow, const Trace& aTrace)
{
  return { P::kTraits.name,
           Replay<P>(DeploymentOf(aRow.site), aTrace, aRow.fault) };
}

void
Print(const Result& aResult)
{
  const ReplayMetrics& f = aResult.metrics;
  std::printf("%-17s %8.3f %8.3f %8.3f %8.3f %10.4f %8.3f %8.3f %8.3f %8.4f\n",
              aResult.policy,
              f.p50,
              f.p95,
              f.p99,
              f.p95Returning,
              f.shareRecomputed,
              f.runnerUtilisation,
              f.storeLinkUtilisation,
              f.zoneLinkUtilisation,
              f.fairness);
  std::fflush(stdout);
}

template<Policy... Ps>
std::vector<Result>
RunPolicies(const Row& aRow, const Trace& aTrace)
{
  std::vector<Result> results;
  const auto run = [&](Result aResult) {
    Print(aResult);
    results.push_back(aResult);
  };
  (run(RunPolicy<Ps>(aRow, aTrace)), ...);
  return results;
}

using Measure = double (ReplayMetrics::*)(PlacementGoal) const;

// Compares a metric of the product with that of the best baseline. Returns true
// if it is at most `aFactor` times the baseline's.
bool
Compare(const Row& aRow,
        const char* aName,
        Measure aMeasure,
        double aFactor,
        const ReplayMetrics& aProduct,
        const std::vector<Result>& aBaselines)
{
  const PlacementGoal placementGoal = DeploymentOf(aRow.site).placementGoal;
  const auto value = [&](const ReplayMetrics& aMetrics) {
    return (aMetrics.*aMeasure)(placementGoal);
  };
  const auto best = std::min_element(
    aBaselines.begin(), aBaselines.end(), [&](auto& aLeft, auto& aRight) {
      return value(aLeft.metrics) < value(aRight.metrics);
    });
  const double limit = value(best->metrics) * aFactor;
  const bool met = value(aProduct) <= limit;
  std::printf("%s: %s, %s: %.4f, best baseline %s %.4f, bound %.4f: %s\n",
              aRow.name,
              std::string(NameOf(placementGoal)).c_str(),
              aName,
              value(aProduct),
              best->policy,
              value(best->metrics),
              limit,
              met ? "met" : "MISSED");
  return met;
}

// Returns true if the product is not worse than the best baseline and, in rows
// whose prompts are evicted, at least a third better for returning prompts.
bool
MeetsBound(const Row& aRow,
           const ReplayMetrics& aProduct,
           const std::vector<Result>& aBaselines)
{
  bool met = Compare(
    aRow, "all requests", &ReplayMetrics::GoalMetric, 1, aProduct, aBaselines);
  if (aRow.EvictsPrompts()) {
    met = Compare(aRow,
                  "returning prompts",
                  &ReplayMetrics::ReturningGoalMetric,
                  2.0 / 3,
                  aProduct,
                  aBaselines) &&
          met;
  }
  return met;
}

bool
RunRow(const Row& aRow, std::uint64_t aSeed)
{
  const Trace trace =
    MakeTrace(DeploymentOf(aRow.site),
              { .load = aRow.load, .seed = aSeed, .gapScale = aRow.gapScale });
  std::printf("row %s, seed %llu, %zu requests\n",
              aRow.name,
              static_cast<unsigned long long>(aSeed),
              trace.arrivals.size());
  std::printf("%-17s %8s %8s %8s %8s %10s %8s %8s %8s %8s\n",
              "policy",
              "p50 s",
              "p95 s",
              "p99 s",
              "p95r s",
              "recomputed",
              "runners",
              "stores",
              "zones",
              "Jain");
  const auto baselines = RunPolicies<RandomRunner,
                                     RoundRobin,
                                     LeastLoadedRunner,
                                     PrefixAffinity,
                                     AlwaysRecompute,
                                     AlwaysRestore>(aRow, trace);
  const auto productResults = RunPolicies<Wigeonwalk, Clairvoyant>(aRow, trace);
  const RecomputeCauses& causes = productResults.front().metrics.causeShares;
  std::printf("wigeonwalk recomputed: not stored %.4f, chosen %.4f, missed in "
              "the runner %.4f, store host failed %.4f\n",
              causes.notStored,
              causes.recomputeCheaper,
              causes.evictedByRunner,
              causes.restoreFailed);
  return MeetsBound(aRow, productResults.front().metrics, baselines);
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Replays returning prompts in virtual time");
  std::string name;
  std::uint64_t seed = 1;
  bool check = false;
  bool list = false;
  app.add_option("--row", name, "run only this row");
  app.add_option("--seed", seed, "seed of the trace");
  app.add_flag("--check", check, "exit with 1 if a row misses its bound");
  app.add_flag("--list", list, "print the names of the rows");
  CLI11_PARSE(app, argc, argv);
  bool met = true;
  bool known = false;
  for (const Row& row : kRows) {
    if (list) {
      std::puts(row.name);
    } else if (name.empty() || name == row.name) {
      known = true;
      met = RunRow(row, seed) && met;
    }
  }
  if (!list && !known) {
    std::fprintf(stderr, "unknown row '%s'; see --list\n", name.c_str());
    return 2;
  }
  return check && !met ? 1 : 0;
}
