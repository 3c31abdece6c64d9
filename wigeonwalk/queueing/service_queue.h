// Queue of one service's requests, with a forecast of how long they wait.
//
//   ServiceQueue& queue = state.queues[service];
//   const Admission admission = queue.Admit(ticket, longestWait, spread, now);
//   if (!admission.admitted) { ... refuse; Retry-After: admission.retryAfter
//   ... } queue.NoteReleased(tokens, now);   // a run has ended
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/queueing/contention.h"
#include "wigeonwalk/queueing/wait_queue.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace wigeonwalk {

// Whether a request may wait for a place.
struct Admission
{
  bool admitted = true;
  // Expected wait; nothing if it can't be forecast.
  std::optional<Duration> expectedWait;
  // Delay until a retry, if the request is refused.
  Duration retryAfter{ 0 };
};

// Answers sustained overload: more requests arrive than the runners can take.
// A request is refused at once, without having run, if those before it in the
// queue are expected to take longer than it may wait. Without that, all
// requests would wait until most of them are late. The rate at which memory
// becomes free is that of this daemon's own runs: the runs of other daemons
// make room for their own queues. Not thread-safe.
class ServiceQueue
{
public:
  // Time over which the rate is measured: several runs of the longest kind.
  static constexpr Duration kRateWindow = std::chrono::seconds(3);
  // Runs that must have ended in the window before the rate is used. After a
  // restart nothing is refused by forecast.
  static constexpr std::size_t kMinRuns = 4;
  // Expected time of a long prompt's run before one was measured.
  static constexpr Duration kFirstExpectedRun = std::chrono::seconds(1);
  // Weight of the latest run in the mean.
  static constexpr double kRunSmoothing = 0.1;
  // Bounds of the delay until a retry, before it is spread.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(4);

  // Records that a run has ended and its memory is free.
  void NoteReleased(std::uint64_t aTokens, TimePoint aNow);

  // Records how long the run of a long prompt took.
  void NoteRun(Duration aTaken);

  // Returns how long the run of a long prompt is expected to take.
  Duration ExpectedRun() const { return this->expectedRun; }

  // Returns the time in which as much memory as given becomes free, or nothing
  // if the rate is unknown.
  std::optional<Duration> TimeToRelease(std::uint64_t aTokens,
                                        TimePoint aNow) const;

  // Decides whether a request that has entered `requests` may wait. `aSpread`
  // in [0, 1) differs between requests, so that refused callers don't return
  // together.
  Admission Admit(WaitQueue::Ticket aTicket,
                  Duration aLongestWait,
                  double aSpread,
                  TimePoint aNow) const;

  // Returns the delay until a retry for a request that is expected to wait for
  // `aExpectedWait`.
  static Duration RetryAfter(std::optional<Duration> aExpectedWait,
                             double aSpread);

  WaitQueue requests;
  // Of large prompts.
  Contention contention;

private:
  struct Release
  {
    TimePoint at;
    std::uint64_t tokens = 0;
  };

  std::deque<Release> releases;
  std::uint64_t releasedTokens = 0;
  Duration expectedRun = kFirstExpectedRun;
};

} // namespace wigeonwalk
