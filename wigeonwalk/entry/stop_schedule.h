// Decides what a stopping daemon does with its requests, and when it exits.
//
//   StopSchedule stop(now, grace);
//   if (stop.Takes(deadline, mayRunAgain)) { ... until stop.AnswerBy() ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstddef>

namespace wigeonwalk {

// The stages of a graceful shutdown: the daemon takes new requests until
// RefuseAt, has answered all of them by AnswerBy, and exits by ExitBy at the
// latest.
class StopSchedule
{
public:
  // The load balancer polls the readiness endpoint once a second and removes a
  // daemon after two failed polls. New connections arrive for slightly longer.
  static constexpr Duration kBalancerDelay = std::chrono::milliseconds(2'800);

  // `aGrace` is the time after which the process is killed.
  StopSchedule(TimePoint aBegunAt, Duration aGrace);

  // From this time on new requests are refused and idle connections are closed.
  TimePoint RefuseAt() const;

  // At this time the requests that are still open get their final response.
  TimePoint AnswerBy() const;

  // The process exits at this time even if a response is not yet written.
  TimePoint ExitBy() const;

  // Returns true if a request that arrives during the stop may be forwarded,
  // with AnswerBy as the limit of its deadline. One that must not run twice is
  // taken only if its own deadline is within the limit: another daemon can
  // still serve it, but not once it has been cut off at a runner.
  bool Takes(TimePoint aDeadline, bool aMayRunAgain) const;

  // Returns true if the process may exit with this number of open requests.
  bool MayExit(std::size_t aOpen, TimePoint aNow) const;

private:
  TimePoint begunAt;
  Duration grace;
};

} // namespace wigeonwalk
