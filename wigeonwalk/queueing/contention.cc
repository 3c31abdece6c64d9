#include "wigeonwalk/queueing/contention.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

namespace {

// Returns what is left of a mean after a time.
double
Remaining(Duration aTime)
{
  return std::exp(-ToSeconds(aTime) / ToSeconds(Contention::kMemory));
}

} // namespace

void
Contention::NoteWaiting(TimePoint aNow)
{
  if (aNow < this->notedUntil) {
    return;
  }
  this->share = 1 - (1 - this->Share(aNow)) * Remaining(kLookInterval);
  this->notedUntil = aNow + kLookInterval;
}

double
Contention::Share(TimePoint aNow) const
{
  return aNow < this->notedUntil
           ? this->share
           : this->share * Remaining(aNow - this->notedUntil);
}

double
Contention::Contenders(std::size_t aDaemons, TimePoint aNow) const
{
  return std::max(1.0, static_cast<double>(aDaemons) * this->Share(aNow));
}

} // namespace wigeonwalk
