// Sheds requests early if more arrive than can be completed.
//
//   const ShedOffer offer{ RequestClass::Standard, share, 1 };
//   ShedAnswer answer = shedder.Offer(offer, now);
//   if (!answer.admitted) { ... NotRun, Retry-After: answer.retryAfter ... }
//   shedder.Complete(1, now);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/ports/model_engine.h"

#include <array>
#include <cstdint>
#include <random>

namespace wigeonwalk {

// The properties of a request that the shedder decides on.
struct ShedOffer
{
  RequestClass requestClass = RequestClass::Standard;
  // Present use of its organisation relative to the organisation's fair share;
  // 1 is all of it.
  double shareUse = 0;
  double work = 1;
  // True if an idle upstream is known.
  bool upstreamIdle = false;
};

// The shedder's decision on a request.
struct ShedAnswer
{
  bool admitted = true;
  // Delay until a retry, with jitter, if the request was shed.
  Duration retryAfter{ 0 };

  // A shed request has not run.
  static constexpr Verdict kVerdict = Verdict::NotRun;
};

// Admits as much work as is completed, highest score first. The score of a
// request depends on its class and on how much of its fair share its
// organisation uses. Every tenth of a second, the cutoff is computed from the
// work offered per score in the last second, the measured completion rate and
// the backlog. Nothing is shed without backlog or while an upstream is idle.
// Work may be in any unit, such as requests or tokens. Not thread-safe.
class OverloadShedder
{
public:
  // Target backlog, as the time to complete it. Well below the target of 0.99 s
  // for the time to the first token, which leaves time for prefill.
  static constexpr Duration kTargetWait = std::chrono::milliseconds(200);
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  OverloadShedder(std::uint64_t aSeed, TimePoint aNow);

  ShedAnswer Offer(const ShedOffer& aOffer, TimePoint aNow);

  // Records that admitted work has ended, successfully or not.
  void Complete(double aWork, TimePoint aNow);

  // Returns the admitted work that has not ended.
  double Backlog() const { return this->backlog; }

private:
  static constexpr std::size_t kScoreCount = 60;
  static constexpr std::size_t kWindowCount = 10;
  using Histogram = std::array<double, kScoreCount>;

  void Advance(TimePoint aNow);
  void CloseWindow();
  Duration RetryAfter();

  std::mt19937_64 random;
  TimePoint windowStart;
  // Offered work by score in the last windows; `currentWindow` is the index of
  // the present one.
  std::array<Histogram, kWindowCount> offered{};
  std::size_t currentWindow = 0;
  std::size_t filledWindows = 0;
  double completed = 0;
  double backlog = 0;
  double lowestBacklog = 0;
  // True if an upstream was idle in the present window.
  bool upstreamWasIdle = false;
  // Work completed per second while there is a backlog; zero if unknown.
  double capacity = 0;
  double offeredRate = 0;
  // Requests with a score below the cutoff are shed, and those at the cutoff
  // with probability `shedAtCutoff`.
  std::size_t cutoff = 0;
  double shedAtCutoff = 0;
};

} // namespace wigeonwalk
