#include "wigeonwalk/base/hybrid_clock.h"

#include <algorithm>

namespace wigeonwalk {

HybridTime
HybridClock::Tick(TimePoint aNow)
{
  if (aNow > this->last.physical) {
    this->last = { aNow, 0 };
  } else {
    this->last.counter += 1;
  }
  return this->last;
}

HybridTime
HybridClock::Observe(HybridTime aRemote, TimePoint aNow)
{
  if (aRemote.physical <= aNow + kMaxLead) {
    this->last = std::max(this->last, aRemote);
  }
  return this->Tick(aNow);
}

} // namespace wigeonwalk
