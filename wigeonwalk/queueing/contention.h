// How many daemons wait for room at the same moment, without asking them.
//
//   contention.NoteWaiting(now);   // at each look for a runner
//   const double waiting = contention.Contenders(daemons, now);
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstddef>

namespace wigeonwalk {

// Answers overload of one service by many daemons. All of them learn at once
// that a runner has room, and each has a prompt that waits for it: if all took
// it, the runner would get many prompts for one place. Callers are spread over
// the daemons, so that the others have waiting prompts as often as this one
// has. Not thread-safe.
class Contention
{
public:
  // Interval between two looks for a runner: a note counts for as long, and a
  // turn lasts as long.
  static constexpr Duration kLookInterval = std::chrono::milliseconds(20);
  // Time constant of the mean.
  static constexpr Duration kMemory = std::chrono::milliseconds(500);

  // Records that a prompt waits from now on for kLookInterval.
  void NoteWaiting(TimePoint aNow);

  // Returns the share of the recent time in which prompts waited.
  double Share(TimePoint aNow) const;

  // Returns how many of the daemons are expected to have waiting prompts now,
  // this one included.
  double Contenders(std::size_t aDaemons, TimePoint aNow) const;

private:
  double share = 0;
  TimePoint notedUntil;
};

} // namespace wigeonwalk
