#include "wigeonwalk/load/run_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace wigeonwalk {

namespace {

// Returns the value at a quantile, which is between 0 and 1, of the samples;
// zero if there are none.
double
Quantile(std::vector<double> aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0;
  }
  std::sort(aSamples.begin(), aSamples.end());
  const auto index = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aSamples.size() - 1));
  return aSamples[index];
}

double
Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

void
RunReport::Add(LoadPhase aPhase, const CallResult& aResult)
{
  Phase& phase = this->phases[static_cast<std::size_t>(aPhase)];
  ++phase.calls;
  phase.correct += aResult.correct ? 1 : 0;
  phase.moved += aResult.moved;
  phase.promptTokens += aResult.promptTokens;
  phase.cachedTokens += aResult.cachedTokens;
  ++phase.verdicts[static_cast<std::size_t>(aResult.verdict)];
  if (aResult.correct && aResult.promptTokens > 0) {
    phase.firstTokens.push_back(ToSeconds(aResult.firstToken) * 1000);
    phase.longestGaps.push_back(ToSeconds(aResult.longestGap) * 1000);
  }
}

std::string
RunReport::ToTable() const
{
  std::string table = "phase         calls correct moved  cached  ttft p50/p95 "
                      "ms   gap p95 ms  verdicts (not-run/may-have-run/ran)\n";
  for (const auto& row : EnumNames<LoadPhase>::kTable) {
    const Phase& phase = this->phases[static_cast<std::size_t>(row.value)];
    char line[200];
    std::snprintf(line,
                  sizeof line,
                  "%-12s %6llu %7llu %5llu %6.1f%% %8.0f /%6.0f %12.0f  "
                  "%llu/%llu/%llu\n",
                  std::string(row.name).c_str(),
                  static_cast<unsigned long long>(phase.calls),
                  static_cast<unsigned long long>(phase.correct),
                  static_cast<unsigned long long>(phase.moved),
                  100 * Ratio(phase.cachedTokens, phase.promptTokens),
                  Quantile(phase.firstTokens, 0.5),
                  Quantile(phase.firstTokens, 0.95),
                  Quantile(phase.longestGaps, 0.95),
                  static_cast<unsigned long long>(phase.verdicts[0]),
                  static_cast<unsigned long long>(phase.verdicts[1]),
                  static_cast<unsigned long long>(phase.verdicts[2]));
    table += line;
  }
  return table;
}

std::string
RunReport::ToJson() const
{
  nlohmann::json json;
  for (const auto& row : EnumNames<LoadPhase>::kTable) {
    const Phase& phase = this->phases[static_cast<std::size_t>(row.value)];
    nlohmann::json verdicts;
    for (const auto& verdict : EnumNames<Verdict>::kTable) {
      verdicts[std::string(verdict.name)] =
        phase.verdicts[static_cast<std::size_t>(verdict.value)];
    }
    json[std::string(row.name)] = {
      { "calls", phase.calls },
      { "correct", phase.correct },
      { "moved", phase.moved },
      { "prompt_tokens", phase.promptTokens },
      { "cached_tokens", phase.cachedTokens },
      { "first_token_ms_p50", Quantile(phase.firstTokens, 0.5) },
      { "first_token_ms_p95", Quantile(phase.firstTokens, 0.95) },
      { "longest_gap_ms_p95", Quantile(phase.longestGaps, 0.95) },
      { "verdicts", verdicts }
    };
  }
  return json.dump(2) + '\n';
}

std::uint64_t
RunReport::Failed() const
{
  std::uint64_t failed = 0;
  for (const Phase& phase : this->phases) {
    failed += phase.calls - phase.correct;
  }
  return failed;
}

void
RunReport::AddBooking(const std::string& aKey, Verdict aVerdict)
{
  this->bookings[aKey] = aVerdict;
}

std::vector<std::string>
RunReport::CheckBookings(
  const std::map<std::string, std::uint64_t>& aRuns) const
{
  std::vector<std::string> violations;
  for (const auto& [key, verdict] : this->bookings) {
    const auto found = aRuns.find(key);
    const std::uint64_t runs = found == aRuns.end() ? 0 : found->second;
    const std::string detail = key + " verdict " +
                               std::string(NameOf(verdict)) + " runs " +
                               std::to_string(runs);
    if (runs > 1) {
      violations.push_back("ran twice: " + detail);
    }
    if (verdict == Verdict::NotRun && runs > 0) {
      violations.push_back("reported as not run: " + detail);
    }
    if (verdict == Verdict::Ran && runs == 0) {
      violations.push_back("reported as run: " + detail);
    }
  }
  return violations;
}

} // namespace wigeonwalk
