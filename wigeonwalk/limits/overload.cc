#include "wigeonwalk/limits/overload.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Weight of the newest window in the moving average of the completion rate.
constexpr double kNewestWindowWeight = 0.2;

constexpr double kShortestRetrySeconds = 1;
constexpr double kLongestRetrySeconds = 30;

// Each class has a band of scores, the most important class the highest one.
// Within a band, an organisation that uses less of its share scores higher.
std::size_t
ScoreOf(RequestClass aClass, double aShareUse, std::size_t aScores)
{
  constexpr std::size_t kClasses = EnumNames<RequestClass>::kTable.size();
  const std::size_t band = aScores / kClasses;
  const std::size_t base =
    (kClasses - 1 - static_cast<std::size_t>(aClass)) * band;
  const double unusedShare = 1 - std::clamp(aShareUse, 0.0, 2.0) / 2;
  return base +
         std::min(band - 1, static_cast<std::size_t>(unusedShare * band));
}

} // namespace

OverloadShedder::OverloadShedder(std::uint64_t aSeed, TimePoint aNow)
  : random(aSeed)
  , windowStart(aNow)
{
}

void
OverloadShedder::Advance(TimePoint aNow)
{
  // After a long idle time, skip windows that no longer affect the result.
  const TimePoint earliest = aNow - kWindow * kWindowCount;
  this->windowStart = std::max(this->windowStart, earliest);
  while (this->windowStart + kWindow <= aNow) {
    this->windowStart += kWindow;
    this->CloseWindow();
  }
}

void
OverloadShedder::CloseWindow()
{
  const double seconds = ToSeconds(kWindow);
  // Only a window in which every upstream was busy shows the capacity.
  if (this->lowestBacklog > 0 && !this->upstreamWasIdle &&
      this->completed > 0) {
    const double rate = this->completed / seconds;
    this->capacity = this->capacity == 0
                       ? rate
                       : kNewestWindowWeight * rate +
                           (1 - kNewestWindowWeight) * this->capacity;
  }
  this->completed = 0;
  this->lowestBacklog = this->backlog;
  this->upstreamWasIdle = false;
  this->filledWindows = std::min(this->filledWindows + 1, kWindowCount);

  Histogram sums{};
  this->offeredRate = 0;
  for (const Histogram& window : this->offered) {
    for (std::size_t score = 0; score < kScoreCount; ++score) {
      const double rate = window[score] / (this->filledWindows * seconds);
      sums[score] += rate;
      this->offeredRate += rate;
    }
  }
  this->currentWindow = (this->currentWindow + 1) % kWindowCount;
  this->offered[this->currentWindow] = {};

  this->cutoff = 0;
  this->shedAtCutoff = 0;
  const double target = this->capacity * ToSeconds(kTargetWait);
  if (this->capacity == 0 || this->backlog <= target / 2) {
    return;
  }
  // The factor 2 brings the backlog to its target in about half a second.
  double allowed = std::max(0.0, this->capacity + 2 * (target - this->backlog));
  for (std::size_t score = kScoreCount; score-- > 0;) {
    if (sums[score] > allowed) {
      this->cutoff = score;
      this->shedAtCutoff = 1 - allowed / sums[score];
      return;
    }
    allowed -= sums[score];
  }
}

Duration
OverloadShedder::RetryAfter()
{
  const double excess =
    this->capacity > 0 ? this->offeredRate / this->capacity : 1;
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  return FromSeconds(
    std::clamp(excess, kShortestRetrySeconds, kLongestRetrySeconds) *
    jitter(this->random));
}

ShedAnswer
OverloadShedder::Offer(const ShedOffer& aOffer, TimePoint aNow)
{
  this->Advance(aNow);
  const std::size_t score =
    ScoreOf(aOffer.requestClass, aOffer.shareUse, kScoreCount);
  this->offered[this->currentWindow][score] += aOffer.work;
  this->upstreamWasIdle = this->upstreamWasIdle || aOffer.upstreamIdle;
  std::uniform_real_distribution<double> chance(0, 1);
  const bool shed =
    score < this->cutoff ||
    (score == this->cutoff && chance(this->random) < this->shedAtCutoff);
  if (shed && !aOffer.upstreamIdle) {
    return { false, this->RetryAfter() };
  }
  this->backlog += aOffer.work;
  return {};
}

void
OverloadShedder::Complete(double aWork, TimePoint aNow)
{
  this->Advance(aNow);
  this->backlog = std::max(0.0, this->backlog - aWork);
  this->completed += aWork;
  this->lowestBacklog = std::min(this->lowestBacklog, this->backlog);
}

} // namespace wigeonwalk
