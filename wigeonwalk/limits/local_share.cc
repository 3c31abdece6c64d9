#include "wigeonwalk/limits/local_share.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

namespace {

constexpr std::array<LimitKind, 2> kRates{ LimitKind::RequestsPerSecond,
                                           LimitKind::TokensPerSecond };

// Seconds of unused rate that a bucket holds, so that arrivals may be uneven.
constexpr double kBurstSeconds = 0.25;

// Seconds of the new rate that the bucket of a daemon without allotment starts
// with, up to the burst, so that the first request after an idle time need not
// wait.
constexpr double kInitialSeconds = 5;

// Half-life of the smoothed demand. With a shorter one, allotments would follow
// random variation of the arrivals, and an amount that one daemon gives up is
// unused until the next report.
constexpr double kHalfLifeSeconds = 3;

// A share without demand for this long is idle.
constexpr Duration kIdleAfter = std::chrono::seconds(5);

double
Burst(double aRate)
{
  return 1 + aRate * kBurstSeconds;
}

} // namespace

LocalShare::LocalShare(LimitAmounts aLimits, TimePoint aNow)
  : limits(aLimits)
  , heldUntil(aNow - kIdleAfter)
  , refilledAt(aNow)
  , measuredSince(aNow)
  , lastRequestAt(aNow)
{
}

void
LocalShare::Refill(TimePoint aNow)
{
  const TimePoint until = std::min(aNow, this->heldUntil);
  if (until > this->refilledAt) {
    const double seconds = ToSeconds(until - this->refilledAt);
    for (const LimitKind kind : kRates) {
      const double rate = this->held[kind];
      this->balance[kind] =
        std::min(Burst(rate), this->balance[kind] + rate * seconds);
    }
  }
  this->refilledAt = std::max(this->refilledAt, aNow);
}

ShareAnswer
LocalShare::TryStart(double aTokens, TimePoint aNow)
{
  this->Refill(aNow);
  this->lastRequestAt = aNow;
  if (this->admitted) {
    // The demand of this request was counted when it asked the owner.
    this->admitted = false;
    ++this->running;
    return {};
  }
  this->measuredDemand[LimitKind::RequestsPerSecond] += 1;
  this->measuredDemand[LimitKind::TokensPerSecond] += aTokens;
  double& maxRunning = this->measuredDemand[LimitKind::ConcurrentRequests];
  maxRunning = std::max(maxRunning, this->running + 1.0);
  const bool holds = aNow < this->heldUntil && !this->individual;
  const auto refuse = [this, holds](LimitKind aKind) {
    this->refusedSinceReport = true;
    return ShareAnswer{ holds ? ShareDecision::Refused
                              : ShareDecision::AskOwner,
                        aKind };
  };
  if (this->limits[LimitKind::ConcurrentRequests] != kNoLimit &&
      (!holds ||
       this->running + 1 > this->held[LimitKind::ConcurrentRequests])) {
    return refuse(LimitKind::ConcurrentRequests);
  }
  // The request bucket must hold a whole request, but any positive token
  // balance suffices, since the actual number of tokens is only known at the
  // end.
  if (this->limits[LimitKind::RequestsPerSecond] != kNoLimit &&
      (!holds || this->balance[LimitKind::RequestsPerSecond] < 1)) {
    return refuse(LimitKind::RequestsPerSecond);
  }
  if (this->limits[LimitKind::TokensPerSecond] != kNoLimit &&
      (!holds || this->balance[LimitKind::TokensPerSecond] <= 0)) {
    return refuse(LimitKind::TokensPerSecond);
  }
  this->balance[LimitKind::RequestsPerSecond] -= 1;
  this->balance[LimitKind::TokensPerSecond] -= aTokens;
  ++this->running;
  return {};
}

void
LocalShare::Finish(double aExtraTokens, TimePoint aNow)
{
  this->Refill(aNow);
  this->balance[LimitKind::TokensPerSecond] -= aExtraTokens;
  this->running -= std::min(this->running, 1U);
}

bool
LocalShare::IsReportDue(TimePoint aNow) const
{
  // A contended allotment is reported often enough: if the limit is exhausted,
  // refusals tell the owner nothing new.
  const bool releasesAllotment = this->individual && this->running == 0 &&
                                 this->held[LimitKind::ConcurrentRequests] > 0;
  if (releasesAllotment) {
    return true;
  }
  const bool wantsMore =
    this->refusedSinceReport &&
    this->reportInterval == kUncontendedValidity / kReportsPerAllotment;
  return aNow - this->measuredSince >=
         (wantsMore ? kReportPeriod : this->reportInterval);
}

LimitAmounts
LocalShare::TakeDemand(TimePoint aNow)
{
  // An unscheduled report covers a short time, in which a single request would
  // appear as a high rate.
  const double seconds = std::max(1.0, ToSeconds(aNow - this->measuredSince));
  const double oldWeight = std::pow(0.5, seconds / kHalfLifeSeconds);
  for (const LimitKind kind : kRates) {
    const double rate = this->measuredDemand[kind] / seconds;
    this->smoothedDemand[kind] =
      (1 - oldWeight) * rate + oldWeight * this->smoothedDemand[kind];
  }
  const bool idle = aNow - this->lastRequestAt >= kIdleAfter;
  if (idle) {
    this->smoothedDemand = {};
  }
  this->smoothedDemand[LimitKind::ConcurrentRequests] = std::max<double>(
    this->running, this->measuredDemand[LimitKind::ConcurrentRequests]);
  if (this->individual && this->running == 0) {
    // The last individually admitted request has ended.
    this->held = {};
  }
  this->measuredDemand = {};
  this->measuredSince = aNow;
  this->refusedSinceReport = false;
  return this->smoothedDemand;
}

void
LocalShare::SetHeld(const LimitAmounts& aHeld, TimePoint aUntil, TimePoint aNow)
{
  this->Refill(aNow);
  const bool isFirst = aNow >= this->heldUntil + kReportPeriod;
  this->held = aHeld;
  this->heldUntil = aUntil;
  for (const LimitKind kind : kRates) {
    const double rate = this->held[kind];
    const double first = isFirst ? rate * kInitialSeconds : 0;
    this->balance[kind] = std::min(this->balance[kind] + first, Burst(rate));
  }
}

void
LocalShare::Accept(const Allotment& aAllotment,
                   TimePoint aSentAt,
                   TimePoint aNow)
{
  this->SetHeld(aAllotment.amounts, aSentAt + aAllotment.validFor, aNow);
  this->reportInterval = aAllotment.validFor / kReportsPerAllotment;
  this->individual = aAllotment.individual;
  this->admitted = aAllotment.admitsRequest;
}

void
LocalShare::UseFallback(std::uint32_t aMembers,
                        std::uint32_t aRank,
                        TimePoint aNow)
{
  if (aNow < this->heldUntil) {
    return;
  }
  const double members = std::max(aMembers, 1U);
  LimitAmounts part;
  for (const LimitKind kind : kRates) {
    part[kind] = this->limits[kind] / members;
  }
  const double limit = this->limits[LimitKind::ConcurrentRequests];
  part[LimitKind::ConcurrentRequests] =
    limit == kNoLimit
      ? kNoLimit
      : std::floor(limit / members) +
          (aRank < std::fmod(std::floor(limit), members) ? 1 : 0);
  // A daemon that held less than its fallback keeps that amount, so that the
  // fallbacks and the allotments that others still hold do not exceed the
  // limit.
  if (aNow - this->heldUntil < kIdleAfter) {
    for (const auto& row : EnumNames<LimitKind>::kTable) {
      part[row.value] = std::min(part[row.value], this->held[row.value]);
    }
  }
  this->SetHeld(part, aNow + kReportPeriod, aNow);
  this->reportInterval = kReportPeriod;
  this->individual = false;
}

LimitAmounts
LocalShare::Held(TimePoint aNow) const
{
  return aNow < this->heldUntil ? this->held : LimitAmounts();
}

bool
LocalShare::IsIdle(TimePoint aNow) const
{
  return this->running == 0 && aNow - this->lastRequestAt >= kIdleAfter &&
         (aNow >= this->heldUntil || this->held == LimitAmounts());
}

} // namespace wigeonwalk
