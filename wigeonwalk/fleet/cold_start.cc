#include "wigeonwalk/fleet/cold_start.h"

#include "wigeonwalk/fleet/runner_health.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Returns the time between two requests at a rate in requests a second.
Duration
IntervalAt(double aRate)
{
  return FromSeconds(1 / aRate);
}

} // namespace

void
ColdStart::Extend(TimePoint aUntil)
{
  this->until = std::max(this->until, aUntil);
}

void
ColdStart::NoteReached(TimePoint aNow)
{
  if (this->unreachableAt) {
    // It may have started any time since the last failure.
    this->unreachableAt.reset();
    this->unknownAgeAt = aNow;
  }
}

TimePoint
ColdStart::ColdUntil(const ColdStartTraits& aTraits) const
{
  TimePoint end = this->until;
  if (this->unknownAgeAt) {
    end = std::max(end, *this->unknownAgeAt + aTraits.time);
  }
  if (this->unreachableAt) {
    end = std::max(
      end, *this->unreachableAt + RunnerHealth::kMaxAvoidance + aTraits.time);
  }
  return end;
}

bool
ColdStart::HasJustSent(const ColdStartTraits& aTraits, TimePoint aNow) const
{
  return this->sentAt &&
         aNow < *this->sentAt +
                  IntervalAt(kWarmUpFactor * aTraits.requestsPerSecond);
}

bool
ColdStart::Admits(const ColdStartTraits& aTraits,
                  const ColdShare& aShare,
                  TimePoint aNow) const
{
  const TimePoint coldUntil = this->ColdUntil(aTraits);
  if (aNow >= coldUntil + kWarmUpTime) {
    return true;
  }
  double rate = 0;
  if (aNow < coldUntil) {
    if (!aShare.rank || *aShare.rank >= kSenders) {
      return false;
    }
    rate = kUsedFraction * aTraits.requestsPerSecond / kSenders;
  } else {
    const double progress =
      ToSeconds(aNow - coldUntil) / ToSeconds(kWarmUpTime);
    rate = (1 + (kWarmUpFactor - 1) * progress) * aTraits.requestsPerSecond /
           static_cast<double>(aShare.daemons);
  }
  const Duration interval = IntervalAt(rate);
  if (this->sentAt) {
    return aNow >= *this->sentAt + interval;
  }
  // The first requests of the daemons are spread over the interval.
  const TimePoint begin =
    aNow < coldUntil ? coldUntil - aTraits.time : coldUntil;
  return aNow >= begin + FromSeconds(aShare.phase * ToSeconds(interval));
}

} // namespace wigeonwalk
