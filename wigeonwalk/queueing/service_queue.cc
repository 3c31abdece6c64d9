#include "wigeonwalk/queueing/service_queue.h"

#include <algorithm>

namespace wigeonwalk {

void
ServiceQueue::NoteReleased(std::uint64_t aTokens, TimePoint aNow)
{
  this->releases.push_back({ aNow, aTokens });
  this->releasedTokens += aTokens;
  while (this->releases.front().at + kRateWindow < aNow) {
    this->releasedTokens -= this->releases.front().tokens;
    this->releases.pop_front();
  }
}

std::optional<Duration>
ServiceQueue::TimeToRelease(std::uint64_t aTokens, TimePoint aNow) const
{
  std::uint64_t tokens = this->releasedTokens;
  std::size_t runs = this->releases.size();
  for (const Release& release : this->releases) {
    if (release.at + kRateWindow >= aNow) {
      break;
    }
    tokens -= release.tokens;
    --runs;
  }
  if (runs < kMinRuns || tokens == 0) {
    return std::nullopt;
  }
  const double perSecond = static_cast<double>(tokens) / ToSeconds(kRateWindow);
  return FromSeconds(static_cast<double>(aTokens) / perSecond);
}

Admission
ServiceQueue::Admit(WaitQueue::Ticket aTicket,
                    Duration aLongestWait,
                    double aSpread,
                    TimePoint aNow) const
{
  Admission admission;
  admission.expectedWait =
    this->TimeToRelease(this->requests.TokensUpTo(aTicket), aNow);
  admission.admitted =
    !admission.expectedWait || *admission.expectedWait <= aLongestWait;
  if (!admission.admitted) {
    admission.retryAfter = RetryAfter(admission.expectedWait, aSpread);
  }
  return admission;
}

void
ServiceQueue::NoteRun(Duration aTaken)
{
  this->expectedRun +=
    FromSeconds(kRunSmoothing * ToSeconds(aTaken - this->expectedRun));
}

Duration
ServiceQueue::RetryAfter(std::optional<Duration> aExpectedWait, double aSpread)
{
  const Duration base = std::clamp(
    aExpectedWait.value_or(kMinRetryAfter), kMinRetryAfter, kMaxRetryAfter);
  return FromSeconds(ToSeconds(base) * (0.5 + aSpread));
}

} // namespace wigeonwalk
