// Limits the requests to a runner that has just started.
//
//   cold.Extend(now + remaining);
//   if (cold.Admits(traits, share, now)) { cold.NoteSent(now); ... send ... }
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <cstddef>
#include <optional>

namespace wigeonwalk {

// What this daemon may send to one runner.
struct ColdShare
{
  // Its rank among the daemons that send to the runner; nothing if it is none
  // of them.
  std::optional<std::size_t> rank;
  // The number of these daemons.
  std::size_t daemons = 1;
  // In [0, 1), different for each daemon and runner.
  double phase = 0;
};

// Answers the return of a runner, or of all runners of a zone, while many
// daemons find them empty at the same moment: a cold runner breaks under a rate
// well above its limit, whoever sends. The first kSenders daemons of the
// runner's rank order each send at an equal part of the limit, evenly spaced;
// the others send nothing. After the cold time all daemons send at rates that
// rise to kWarmUpFactor times the limit, because each of them finds the runner
// empty. Not thread-safe.
class ColdStart
{
public:
  static constexpr std::size_t kSenders = 3;
  // Fraction of the limit that is used. Daemons whose lists of members have
  // nothing in common are twice as many senders, and still stay within 1.5
  // times the limit.
  static constexpr double kUsedFraction = 0.75;
  static constexpr Duration kWarmUpTime = std::chrono::seconds(2);
  static constexpr double kWarmUpFactor = 4;

  // The runner is cold until `aUntil` at least.
  void Extend(TimePoint aUntil);

  // The runner has started at an unknown time before `aNow`.
  void NoteUnknownAge(TimePoint aNow) { this->unknownAgeAt = aNow; }

  // The runner could not be reached: it may start again at any time.
  void NoteUnreachable(TimePoint aNow) { this->unreachableAt = aNow; }

  // A request was sent to the runner after all.
  void NoteReached(TimePoint aNow);

  bool IsCold(const ColdStartTraits& aTraits, TimePoint aNow) const
  {
    return aNow < this->ColdUntil(aTraits);
  }

  // Returns until when the runner counts as cold; in the past if it does not.
  TimePoint ColdUntil(const ColdStartTraits& aTraits) const;

  // Returns true if the runner takes all requests.
  bool IsWarm(const ColdStartTraits& aTraits, TimePoint aNow) const
  {
    return aNow >= this->ColdUntil(aTraits) + kWarmUpTime;
  }

  // Returns true if this daemon may send a request now.
  bool Admits(const ColdStartTraits& aTraits,
              const ColdShare& aShare,
              TimePoint aNow) const;

  // Returns true if Admits is false whatever the share is, as this daemon has
  // just sent a request.
  bool HasJustSent(const ColdStartTraits& aTraits, TimePoint aNow) const;

  void NoteSent(TimePoint aNow) { this->sentAt = aNow; }

private:
  TimePoint until;
  std::optional<TimePoint> unknownAgeAt;
  std::optional<TimePoint> unreachableAt;
  std::optional<TimePoint> sentAt;
};

} // namespace wigeonwalk
