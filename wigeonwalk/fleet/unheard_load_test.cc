#include "wigeonwalk/fleet/unheard_load.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <vector>

using namespace wigeonwalk;

namespace {

// Requests of many daemons that prefer some of the runners, of which each
// daemon knows its own and those of eight others.
struct Fleet
{
  Fleet(std::size_t aDaemons, std::size_t aRunners)
    : daemons(aDaemons)
    , all(aRunners, 0)
    , sampled(aRunners, 0)
  {
    std::mt19937 random{ 7 };
    std::exponential_distribution<double> popularity(1);
    for (std::size_t i = 0; i < aRunners; ++i) {
      // Six requests at a runner in the mean.
      std::poisson_distribution<std::uint64_t> atRunner(
        6 * popularity(random) / static_cast<double>(aDaemons));
      for (std::size_t j = 0; j < aDaemons; ++j) {
        const std::uint64_t requests = atRunner(random);
        this->all[i] += requests;
        this->sampled[i] += j < kSampled ? requests : 0;
        this->total += j < kSampled ? requests : 0;
      }
    }
  }

  // Returns the mean error of an estimate of all requests at a runner.
  template<typename Estimate>
  double MeanError(Estimate aEstimate) const
  {
    double error = 0;
    for (std::size_t i = 0; i < this->all.size(); ++i) {
      error += std::abs(aEstimate(this->sampled[i]) -
                        static_cast<double>(this->all[i]));
    }
    return error / static_cast<double>(this->all.size());
  }

  static constexpr std::size_t kSampled = 9;

  std::size_t daemons;
  std::vector<std::uint64_t> all;
  std::vector<std::uint64_t> sampled;
  std::uint64_t total = 0;
};

} // namespace

// Guards against loads that are counted twice or invented.
SCENARIO("what is heard needs no estimate")
{
  CHECK(UnheardLoad({ 9, 9, 16, 40 }).At(3) == 0);
  CHECK(UnheardLoad({ 1, 1, 16, 40 }).At(3) == 0);
  CHECK(UnheardLoad({ 79, 9, 16, 0 }).At(0) == 0);
}

// Guards against runners that look idle because few daemons report, and against
// a single report that makes a runner look full.
SCENARIO("the load of daemons that are not heard is estimated from the others")
{
  const UnheardLoad unheard({ 79, 9, 90, 60 });
  // Of 79 daemons, 5.2 unheard requests at each runner in the mean: the sample
  // has 0.67 at each, and one of the prior counts as much as one of these.
  CHECK(unheard.At(0) == Approx(70 * 1 / (13.5 + 9)));
  CHECK(unheard.At(1) == Approx(70 * 2 / (13.5 + 9)));
  CHECK(unheard.At(4) == Approx(70 * 5 / (13.5 + 9)));

  const std::size_t daemons = GENERATE(27, 79, 295);
  const Fleet fleet(daemons, 90);
  const UnheardLoad estimate({ daemons, Fleet::kSampled, 90, fleet.total });
  const double heard = fleet.MeanError(
    [](std::uint64_t aSampled) { return static_cast<double>(aSampled); });
  const double scaled = fleet.MeanError([&](std::uint64_t aSampled) {
    return static_cast<double>(aSampled * daemons) / Fleet::kSampled;
  });
  const double estimated = fleet.MeanError([&](std::uint64_t aSampled) {
    return static_cast<double>(aSampled) + estimate.At(aSampled);
  });
  std::cout << daemons << " daemons: mean error of the requests at a runner "
            << heard << " as heard, " << scaled << " scaled, " << estimated
            << " estimated" << std::endl;
  CHECK(estimated < heard);
  CHECK(estimated < scaled);
}
