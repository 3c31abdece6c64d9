// Measures how the retry budget limits the load during an outage at the target
// size. Fails if the load exceeds its bound.
#include "wigeonwalk/retry/retry_budget.h"

#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// All daemons at the target rate: every request succeeds for 60 s, then every
// attempt fails for 60 s. Each request may be retried twice.
bool
MeasureBudget()
{
  constexpr std::size_t kDaemons = 350;
  constexpr int kOrganisations = 230;
  std::mt19937_64 random(17);
  std::vector<RetryBudget> budgets(kDaemons);
  const ServiceName service("service");
  const TimePoint start(24h);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  constexpr int kSeconds = 120;
  constexpr int kRate = 6'200;
  for (int i = 0; i < kSeconds * kRate; ++i) {
    const TimePoint now = start + i * Duration(1s) / kRate;
    // A few large organisations send most of the requests.
    const double share = std::uniform_real_distribution<double>(0, 1)(random);
    const OrganisationId organisation(
      std::to_string(static_cast<int>(share * share * kOrganisations)));
    RetryBudget& budget = budgets[random() % kDaemons];
    if (i < kSeconds / 2 * kRate) {
      budget.RecordSuccess(organisation, service, now);
      continue;
    }
    ++requests;
    for (int attempt = 0; attempt < 2; ++attempt) {
      if (!budget.TrySpend(organisation, service, now)) {
        break;
      }
      ++retries;
    }
  }
  const double load = double(requests + retries) / double(requests);
  std::printf("outage of 60 s: %llu requests, %llu retries; without a budget "
              "%llu\n",
              static_cast<unsigned long long>(requests),
              static_cast<unsigned long long>(retries),
              static_cast<unsigned long long>(2 * requests));
  // A tenth of the successes for the pairs, a twentieth for the reserves, and
  // the 35/s that the reserves gain anyway.
  const double bound = 1.15 + 35.0 / kRate;
  std::printf("%s load in the outage: %.3f, bound %.3f\n",
              load <= bound ? "ok  " : "FAIL",
              load,
              bound);
  return load <= bound;
}

} // namespace

int
main()
{
  return MeasureBudget() ? 0 : 1;
}
