#include "wigeonwalk/fleet/unheard_load.h"

#include <algorithm>

namespace wigeonwalk {

double
UnheardLoad::At(std::uint64_t aSampled) const
{
  if (this->sample.total == 0 || this->sample.daemons <= this->sample.sampled) {
    return 0;
  }
  const auto sampled = static_cast<double>(this->sample.sampled);
  const auto runners =
    static_cast<double>(std::max<std::size_t>(this->sample.runners, 1));
  // Requests of one daemon at one runner.
  const double mean =
    static_cast<double>(this->sample.total) / (sampled * runners);
  const double rate = (kPriorRequests + static_cast<double>(aSampled)) /
                      (kPriorRequests / mean + sampled);
  return rate *
         static_cast<double>(this->sample.daemons - this->sample.sampled);
}

} // namespace wigeonwalk
