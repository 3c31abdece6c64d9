#include "wigeonwalk/entry/stop_schedule.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Parts of the grace period that are reserved for the last responses together
// with the exit of the process, and for the exit alone. Both are limited to a
// part of a short grace period.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(500);
constexpr int kAnswerDivisor = 5;
constexpr Duration kExitMargin = std::chrono::milliseconds(250);
constexpr int kExitDivisor = 10;

} // namespace

StopSchedule::StopSchedule(TimePoint aBegunAt, Duration aGrace)
  : begunAt(aBegunAt)
  , grace(aGrace)
{
}

TimePoint
StopSchedule::RefuseAt() const
{
  return this->begunAt + std::min(kBalancerDelay, this->grace / 2);
}

TimePoint
StopSchedule::AnswerBy() const
{
  return this->begunAt + this->grace -
         std::min(kAnswerMargin, this->grace / kAnswerDivisor);
}

TimePoint
StopSchedule::ExitBy() const
{
  return this->begunAt + this->grace -
         std::min(kExitMargin, this->grace / kExitDivisor);
}

bool
StopSchedule::Takes(TimePoint aDeadline, bool aMayRunAgain) const
{
  return aMayRunAgain || aDeadline <= this->AnswerBy();
}

bool
StopSchedule::MayExit(std::size_t aOpen, TimePoint aNow) const
{
  return aNow >= this->ExitBy() || (aOpen == 0 && aNow >= this->RefuseAt());
}

} // namespace wigeonwalk
