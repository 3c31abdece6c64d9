// A pause that a runner asked this daemon for when it turned a request away.
//
//   pause.Extend(now + asked, spread);
//   if (pause.Admits(now)) { pause.NoteSent(now); ... send ... }
//   pause.NoteTaken(now);   // a request was not turned away
#pragma once

#include "wigeonwalk/base/time.h"

#include <algorithm>
#include <cstdint>

namespace wigeonwalk {

// Admits no requests until the latest end that was asked for. A request that
// succeeds meanwhile was sent before, so it doesn't end the pause. Afterwards a
// few requests go first; the others follow once one of them was taken, or
// kFirstWindow after the first if none was answered. Not thread-safe.
class RequestedPause
{
public:
  // Requests that are sent before one is known to be taken.
  static constexpr std::uint32_t kFirstRequests = 2;
  // A runner that wants requests again gets all of them within a second: the
  // longest spread and this window.
  static constexpr Duration kMaxSpread = std::chrono::milliseconds(400);
  static constexpr Duration kFirstWindow = std::chrono::milliseconds(400);

  // Records that the runner wants no requests until `aEnd`. `aSpread` in [0, 1)
  // differs between daemons, so that they don't return together. Returns true
  // if the pause now ends later.
  bool Extend(TimePoint aEnd, double aSpread)
  {
    if (aEnd <= this->end) {
      return false;
    }
    this->end = aEnd;
    this->admitsFrom = aEnd + FromSeconds(aSpread * ToSeconds(kMaxSpread));
    this->sent = 0;
    this->isTaken = false;
    return true;
  }

  // Returns true until requests are admitted again.
  bool IsPaused(TimePoint aNow) const { return aNow < this->admitsFrom; }

  // Returns true if a request may be sent now.
  bool Admits(TimePoint aNow) const
  {
    return !this->IsPaused(aNow) &&
           (this->isTaken || this->sent < kFirstRequests ||
            aNow >= this->firstSentAt + kFirstWindow);
  }

  // Returns when requests are admitted again: the first ones, or the others if
  // the first ones were sent. In the past if there is no pause.
  TimePoint AdmitsFrom() const
  {
    return this->isTaken || this->sent < kFirstRequests
             ? this->admitsFrom
             : this->firstSentAt + kFirstWindow;
  }

  // Records that a request is sent.
  void NoteSent(TimePoint aNow)
  {
    if (this->IsPaused(aNow)) {
      return;
    }
    if (this->sent++ == 0) {
      this->firstSentAt = aNow;
    }
  }

  // Records that a request which was sent at `aSentAt` was not turned away.
  void NoteTaken(TimePoint aSentAt)
  {
    this->isTaken = this->isTaken || aSentAt >= this->admitsFrom;
  }

private:
  TimePoint end;
  TimePoint admitsFrom;
  // Since the end of the pause.
  std::uint64_t sent = 0;
  TimePoint firstSentAt;
  bool isTaken = false;
};

} // namespace wigeonwalk
