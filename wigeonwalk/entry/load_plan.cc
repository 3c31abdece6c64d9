#include "wigeonwalk/entry/load_plan.h"

#include <tuple>

namespace wigeonwalk {

bool
LoadsBefore(const PendingLoad& aLeft, const PendingLoad& aRight)
{
  const TimePoint leftDue = aLeft.usableUntil + aLeft.spent;
  const TimePoint rightDue = aRight.usableUntil + aRight.spent;
  return std::tie(leftDue, aLeft.runner) < std::tie(rightDue, aRight.runner);
}

} // namespace wigeonwalk
