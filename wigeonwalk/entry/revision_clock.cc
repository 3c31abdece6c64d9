#include "wigeonwalk/entry/revision_clock.h"

#include <algorithm>

namespace wigeonwalk {

void
RevisionClock::Note(std::int64_t aRevision, TimePoint aNow)
{
  if (this->firstRevision == 0) {
    this->firstRevision = aRevision;
    this->firstAt = aNow;
  }
  this->lastRevision = std::max(this->lastRevision, aRevision);
  this->lastAt = std::max(this->lastAt, aNow);
}

std::optional<Duration>
RevisionClock::AgeAtStart(std::int64_t aItemRevision) const
{
  const Duration observed = this->lastAt - this->firstAt;
  const std::int64_t changes = this->lastRevision - this->firstRevision;
  if (observed < kMinObservation || changes <= 0) {
    return std::nullopt;
  }
  const double perSecond = static_cast<double>(changes) / ToSeconds(observed);
  const std::int64_t before =
    std::max<std::int64_t>(this->firstRevision - aItemRevision, 0);
  return FromSeconds(static_cast<double>(before) / perSecond);
}

} // namespace wigeonwalk
