#include "wigeonwalk/kv_client/call_budget.h"

#include <algorithm>
#include <limits>

namespace wigeonwalk {

namespace {

// Prevents a wait that rounds to zero.
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

// With a rate of zero, callers try again after this time.
constexpr double kLongestWaitSeconds = 60;

} // namespace

BudgetRate
BudgetFor(std::uint32_t aMembers, std::uint32_t aOwnedClaimShards)
{
  const double share = kFleetCallsPerSecond / std::max(aMembers, 1U);
  BudgetRate rate;
  rate.callsPerSecond = std::min(share, kMostCallsPerSecond) +
                        kCallsPerClaimShard * aOwnedClaimShards;
  rate.burst = std::max(2 * rate.callsPerSecond, 4.0);
  return rate;
}

void
CallBudget::Bucket::Refill(double aSeconds)
{
  this->tokens =
    std::min(this->most, this->tokens + this->perSecond * aSeconds);
}

double
CallBudget::Bucket::SecondsUntil(double aNeeded) const
{
  if (this->perSecond <= 0 || aNeeded > this->most) {
    return std::numeric_limits<double>::infinity();
  }
  return std::max(0.0, aNeeded - this->tokens) / this->perSecond;
}

CallBudget::CallBudget(BudgetRate aRate, TimePoint aNow)
  : refilledAt(aNow)
{
  this->SetRate(aRate, aNow);
  this->shared.tokens = this->shared.most;
  for (Bucket& bucket : this->own) {
    bucket.tokens = bucket.perSecond > 0 ? bucket.most : 0;
  }
}

void
CallBudget::SetRate(BudgetRate aRate, TimePoint aNow)
{
  this->Refill(aNow);
  this->rate = aRate;
  double sharedPart = 1;
  for (const UserRule& rule : kUserRules) {
    Bucket& bucket = this->own[static_cast<std::size_t>(rule.user)];
    bucket.perSecond = rule.ownShare * aRate.callsPerSecond;
    sharedPart -= rule.ownShare;
  }
  this->shared.perSecond = sharedPart * aRate.callsPerSecond;
  this->shared.most = std::max(1.0, aRate.burst);
  this->shared.tokens = std::min(this->shared.tokens, this->shared.most);
}

void
CallBudget::Refill(TimePoint aNow)
{
  if (aNow <= this->refilledAt) {
    return;
  }
  const double seconds = ToSeconds(aNow - this->refilledAt);
  this->refilledAt = aNow;
  this->shared.Refill(seconds);
  for (Bucket& bucket : this->own) {
    bucket.Refill(seconds);
  }
}

std::optional<TimePoint>
CallBudget::Take(KeyValueUser aUser, TimePoint aNow)
{
  this->Refill(aNow);
  Bucket& bucket = this->own[static_cast<std::size_t>(aUser)];
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double kept = RuleOf(aUser).reserve * this->shared.most;
  if (this->shared.tokens >= 1 + kept) {
    this->shared.tokens -= 1;
    return std::nullopt;
  }
  const double seconds = std::min({ bucket.SecondsUntil(1),
                                    this->shared.SecondsUntil(1 + kept),
                                    kLongestWaitSeconds });
  return aNow + std::max(FromSeconds(seconds), kShortestWait);
}

void
CallBudget::Drain(TimePoint aNow)
{
  this->Refill(aNow);
  this->shared.tokens = std::min(this->shared.tokens, 1.0);
  for (Bucket& bucket : this->own) {
    bucket.tokens = 0;
  }
}

} // namespace wigeonwalk
