// Sheds requests early when more arrive than can be completed.
//
//   ShedAnswer answer = shedder.Offer({ RequestClass::Standard, share, 1 },
//   now); if (!answer.admitted) { ... NotRun, Retry-After: answer.retryAfter
//   ... } shedder.Complete(1, now);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"
#include "wigeonwalk/ports/model_engine.h"

#include <array>
#include <cstdint>
#include <random>

namespace wigeonwalk {

// A request as the shedder sees it.
struct ShedOffer
{
  RequestClass requestClass = RequestClass::Standard;
  // What its organisation uses now, relative to its fair share: 1 is all of it.
  double shareUse = 0;
  double work = 1;
  // An upstream is known that has nothing to do.
  bool placeFree = false;
};

// What a shedder says to a request.
struct ShedAnswer
{
  bool admitted = true;
  // When to come again, with jitter, where the request was shed.
  Duration retryAfter{ 0 };

  // A shed request has not run.
  static constexpr Verdict kVerdict = Verdict::NotRun;
};

// Admits as much work as is completed, highest score first. The score of a
// request comes from its class and from how much its organisation uses of its
// share. Each tenth of a second the cutoff is computed from the work offered in
// the last second by score, the measured rate of completion and the backlog.
// Without backlog, or while an upstream has nothing to do, nothing is shed.
// Work is in any one unit, such as requests or tokens. One thread.
class OverloadShedder
{
public:
  // Backlog that is aimed at, as time to complete it. Well under the 0.99 s
  // within which the first token is due, with room for prefill.
  static constexpr Duration kTargetWait = std::chrono::milliseconds(200);
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  OverloadShedder(std::uint64_t aSeed, TimePoint aNow);

  ShedAnswer Offer(const ShedOffer& aOffer, TimePoint aNow);

  // Records that admitted work ended, whether useful or not.
  void Complete(double aWork, TimePoint aNow);

  // Work that was admitted and has not ended.
  double Backlog() const { return this->backlog; }

private:
  static constexpr std::size_t kScores = 60;
  static constexpr std::size_t kWindows = 10;
  using Histogram = std::array<double, kScores>;

  void Advance(TimePoint aNow);
  void CloseWindow();
  Duration RetryAfter();

  std::mt19937_64 random;
  TimePoint windowStart;
  // Offered work by score in the last windows; `current` is being filled.
  std::array<Histogram, kWindows> offered{};
  std::size_t current = 0;
  std::size_t filled = 0;
  double completed = 0;
  double backlog = 0;
  double lowestBacklog = 0;
  // An upstream had nothing to do in the current window.
  bool placeWasFree = false;
  // Work a second that is completed while there is a backlog; zero if unknown.
  double capacity = 0;
  double offeredRate = 0;
  // Requests under the cutoff are shed, those at it with a probability.
  std::size_t cutoff = 0;
  double shedAtCutoff = 0;
};

} // namespace wigeonwalk
