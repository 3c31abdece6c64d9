#include "wigeonwalk/placement/load_estimate.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

// Maximum number of sends kept while no report arrives. Older ones are folded
// into the reported work.
constexpr std::size_t kMaxSent = 256;

} // namespace

void
LoadEstimate::Report(double aWaitingSeconds, TimePoint aMeasuredAt)
{
  if (aMeasuredAt < this->measuredAt) {
    return;
  }
  this->reported = aWaitingSeconds;
  this->measuredAt = aMeasuredAt;
  while (!this->sent.empty() && this->sent.front().first <= aMeasuredAt) {
    this->sent.pop_front();
  }
}

void
LoadEstimate::NoteSent(double aSeconds, TimePoint aNow)
{
  if (this->sent.size() >= kMaxSent) {
    const TimePoint folded = this->sent.front().first;
    const double drained = ToSeconds(folded - this->measuredAt);
    this->reported =
      std::max(0.0, this->reported - drained) + this->sent.front().second;
    this->measuredAt = folded;
    this->sent.pop_front();
  }
  this->sent.emplace_back(std::max(aNow, this->measuredAt), aSeconds);
}

double
LoadEstimate::Waiting(TimePoint aNow) const
{
  double waiting = this->reported;
  TimePoint last = this->measuredAt;
  for (const auto& [at, seconds] : this->sent) {
    waiting = std::max(0.0, waiting - ToSeconds(at - last)) + seconds;
    last = at;
  }
  return std::max(0.0, waiting - ToSeconds(aNow - last));
}

} // namespace wigeonwalk
