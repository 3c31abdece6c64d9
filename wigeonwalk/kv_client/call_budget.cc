#include "wigeonwalk/kv_client/call_budget.h"

#include <algorithm>
#include <limits>

namespace wigeonwalk {

namespace {

// Prevents a wait that rounds to zero.
constexpr Duration kMinWait = std::chrono::milliseconds(1);

// With a rate of zero, callers try again after this time.
constexpr double kMaxWaitSeconds = 60;

} // namespace

BudgetRate
BudgetFor(std::uint32_t aMembers, std::uint32_t aOwnedClaimShards)
{
  const double share = kFleetCallsPerSecond / std::max(aMembers, 1U);
  BudgetRate rate;
  rate.callsPerSecond = std::min(share, kMaxCallsPerSecond) +
                        kCallsPerClaimShard * aOwnedClaimShards;
  rate.burst = std::max(2 * rate.callsPerSecond, 4.0);
  return rate;
}

void
CallBudget::Bucket::Refill(double aSeconds)
{
  this->tokens =
    std::min(this->capacity, this->tokens + this->refillRate * aSeconds);
}

double
CallBudget::Bucket::SecondsUntil(double aNeeded) const
{
  if (this->refillRate <= 0 || aNeeded > this->capacity) {
    return std::numeric_limits<double>::infinity();
  }
  return std::max(0.0, aNeeded - this->tokens) / this->refillRate;
}

CallBudget::CallBudget(BudgetRate aRate, TimePoint aNow)
  : refilledAt(aNow)
{
  this->SetRate(aRate, aNow);
  this->shared.tokens = this->shared.capacity;
  for (Bucket& bucket : this->reserved) {
    bucket.tokens = bucket.refillRate > 0 ? bucket.capacity : 0;
  }
}

void
CallBudget::SetRate(BudgetRate aRate, TimePoint aNow)
{
  this->Refill(aNow);
  this->rate = aRate;
  double sharedFraction = 1;
  for (const UserRule& rule : kUserRules) {
    Bucket& bucket = this->reserved[static_cast<std::size_t>(rule.user)];
    bucket.refillRate = rule.reservedShare * aRate.callsPerSecond;
    sharedFraction -= rule.reservedShare;
  }
  this->shared.refillRate = sharedFraction * aRate.callsPerSecond;
  this->shared.capacity = std::max(1.0, aRate.burst);
  this->shared.tokens = std::min(this->shared.tokens, this->shared.capacity);
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
  for (Bucket& bucket : this->reserved) {
    bucket.Refill(seconds);
  }
}

std::optional<TimePoint>
CallBudget::Take(KeyValueUser aUser, TimePoint aNow)
{
  this->Refill(aNow);
  Bucket& bucket = this->reserved[static_cast<std::size_t>(aUser)];
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double reservedTokens =
    RuleOf(aUser).burstReserve * this->shared.capacity;
  if (this->shared.tokens >= 1 + reservedTokens) {
    this->shared.tokens -= 1;
    return std::nullopt;
  }
  const double seconds =
    std::min({ bucket.SecondsUntil(1),
               this->shared.SecondsUntil(1 + reservedTokens),
               kMaxWaitSeconds });
  return aNow + std::max(FromSeconds(seconds), kMinWait);
}

void
CallBudget::DropBurst(TimePoint aNow)
{
  this->Refill(aNow);
  this->shared.tokens = std::min(this->shared.tokens, 1.0);
  for (Bucket& bucket : this->reserved) {
    bucket.tokens = 0;
  }
}

} // namespace wigeonwalk
