// What the daemons that don't report to this one have at runners.
//
//   const UnheardLoad unheard({ daemons, sampled, runners, total });
//   runner->othersInFlight += unheard.At(sampledAtRunner);
#pragma once

#include <cstddef>
#include <cstdint>

namespace wigeonwalk {

// Requests in flight at the runners of one service, as a sample of the daemons
// knows them.
struct LoadSample
{
  // All daemons, and those of the sample, this one included.
  std::size_t daemons = 1;
  std::size_t sampled = 1;
  std::size_t runners = 1;
  // What the sample has in flight at all runners together.
  std::uint64_t total = 0;
};

// Answers runners that many daemons overrun with short requests while others
// idle: each daemon hears what eight others have in flight, and the rest would
// count as nothing. The rest is estimated from the sample. One request more or
// less at one runner says little, so that the mean over all runners counts as
// much as kPriorRequests requests: the posterior mean of a Poisson rate whose
// prior is the exponential distribution with that mean. Immutable.
class UnheardLoad
{
public:
  static constexpr double kPriorRequests = 1;

  explicit UnheardLoad(const LoadSample& aSample)
    : sample(aSample)
  {
  }

  // Returns the requests that daemons outside the sample are expected to have
  // in flight at a runner, if those of the sample have `aSampled` there.
  double At(std::uint64_t aSampled) const;

private:
  LoadSample sample;
};

} // namespace wigeonwalk
