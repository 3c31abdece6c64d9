// A pause of a simulated process: its coroutines are suspended while time
// advances.
//
//   ProcessPause pause{ start + 5s, start + 60s };
//   PausableTimer timer(time, pause);
//   connection.SetPause(&pause);
#pragma once

#include "wigeonwalk/testing/virtual_time.h"

#include <algorithm>

namespace wigeonwalk {

// The process does not run in [from, until).
struct ProcessPause
{
  TimePoint from = TimePoint::max();
  TimePoint until = TimePoint::max();

  // Returns the first time at or after `aTime` at which the process runs.
  TimePoint ResumeTime(TimePoint aTime) const
  {
    return this->from <= aTime && aTime < this->until ? this->until : aTime;
  }
};

// The timer of a process that pauses. A wait that would end during the pause
// returns at its end; Now() also advances during the pause. The pause must
// outlive the timer.
class PausableTimer
{
public:
  PausableTimer(VirtualTime& aTime, const ProcessPause& aPause)
    : time(aTime)
    , pause(aPause)
  {
  }

  TimePoint Now() const { return this->time.Now(); }

  Task<void> WaitUntil(TimePoint aTime)
  {
    co_await this->time.WaitUntil(aTime);
    co_await this->time.WaitUntil(this->pause.ResumeTime(this->time.Now()));
  }

private:
  VirtualTime& time;
  const ProcessPause& pause;
};

static_assert(Timer<PausableTimer>);

} // namespace wigeonwalk
