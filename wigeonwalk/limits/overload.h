// Sheds requests early when more arrive than can be completed.
//
//   ShedAnswer answer = shedder.Offer(RequestClass::Standard, share, 1, now);
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
// Without backlog nothing is shed. Work is in any one unit, such as requests or
// tokens. One thread.
class OverloadShedder
{
public:
  // Backlog that is aimed at, as time to complete it. Well under the 0.99 s
  // within which the first token is due, with room for prefill.
  static constexpr Duration kTargetWait = std::chrono::milliseconds(200);
  static constexpr Duration kWindow = std::chrono::milliseconds(100);

  OverloadShedder(std::uint64_t aSeed, TimePoint aNow);

  // Offers a request. `aShareUse` is what its organisation uses now, relative
  // to its fair share: 1 is all of it.
  ShedAnswer Offer(RequestClass aClass,
                   double aShareUse,
                   double aWork,
                   TimePoint aNow);

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
  // Work a second that is completed while there is a backlog; zero if unknown.
  double capacity = 0;
  double offeredRate = 0;
  // Requests under the cutoff are shed, those at it with a probability.
  std::size_t cutoff = 0;
  double shedAtCutoff = 0;
};

} // namespace wigeonwalk
