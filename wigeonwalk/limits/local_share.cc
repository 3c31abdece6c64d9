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
constexpr double kFirstSeconds = 5;

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
  , spanStart(aNow)
  , lastAsked(aNow)
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
  this->lastAsked = aNow;
  if (this->admitted) {
    // The demand of this request was counted when it asked the owner.
    this->admitted = false;
    ++this->running;
    return {};
  }
  this->span[LimitKind::RequestsPerSecond] += 1;
  this->span[LimitKind::TokensPerSecond] += aTokens;
  double& wanted = this->span[LimitKind::ConcurrentRequests];
  wanted = std::max(wanted, this->running + 1.0);
  const bool holds = aNow < this->heldUntil && !this->single;
  const auto no = [this, holds](LimitKind aKind) {
    this->turnedAway = true;
    return ShareAnswer{ holds ? ShareDecision::Refused
                              : ShareDecision::AskOwner,
                        aKind };
  };
  if (this->limits[LimitKind::ConcurrentRequests] != kNoLimit &&
      (!holds ||
       this->running + 1 > this->held[LimitKind::ConcurrentRequests])) {
    return no(LimitKind::ConcurrentRequests);
  }
  // The request bucket must hold a whole request, but any positive token
  // balance suffices, since the actual number of tokens is only known at the
  // end.
  if (this->limits[LimitKind::RequestsPerSecond] != kNoLimit &&
      (!holds || this->balance[LimitKind::RequestsPerSecond] < 1)) {
    return no(LimitKind::RequestsPerSecond);
  }
  if (this->limits[LimitKind::TokensPerSecond] != kNoLimit &&
      (!holds || this->balance[LimitKind::TokensPerSecond] <= 0)) {
    return no(LimitKind::TokensPerSecond);
  }
  this->balance[LimitKind::RequestsPerSecond] -= 1;
  this->balance[LimitKind::TokensPerSecond] -= aTokens;
  ++this->running;
  return {};
}

void
LocalShare::Finish(double aMissedTokens, TimePoint aNow)
{
  this->Refill(aNow);
  this->balance[LimitKind::TokensPerSecond] -= aMissedTokens;
  this->running -= std::min(this->running, 1U);
}

bool
LocalShare::IsReportDue(TimePoint aNow) const
{
  // A hot allotment is reported often enough: if the limit is exhausted,
  // refusals tell the owner nothing new.
  const bool signsOff = this->single && this->running == 0 &&
                        this->held[LimitKind::ConcurrentRequests] > 0;
  if (signsOff) {
    return true;
  }
  const bool wantsMore =
    this->turnedAway && this->reportAfter == kColdTime / kReportsPerAllotment;
  return aNow - this->spanStart >=
         (wantsMore ? kReportPeriod : this->reportAfter);
}

LimitAmounts
LocalShare::TakeDemand(TimePoint aNow)
{
  // An unscheduled report covers a short time, in which a single request would
  // appear as a high rate.
  const double seconds = std::max(1.0, ToSeconds(aNow - this->spanStart));
  const double older = std::pow(0.5, seconds / kHalfLifeSeconds);
  for (const LimitKind kind : kRates) {
    const double rate = this->span[kind] / seconds;
    this->smoothed[kind] = (1 - older) * rate + older * this->smoothed[kind];
  }
  const bool quiet = aNow - this->lastAsked >= kIdleAfter;
  if (quiet) {
    this->smoothed = {};
  }
  this->smoothed[LimitKind::ConcurrentRequests] =
    std::max<double>(this->running, this->span[LimitKind::ConcurrentRequests]);
  if (this->single && this->running == 0) {
    // The last individually admitted request has ended.
    this->held = {};
  }
  this->span = {};
  this->spanStart = aNow;
  this->turnedAway = false;
  return this->smoothed;
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
    const double first = isFirst ? rate * kFirstSeconds : 0;
    this->balance[kind] = std::min(this->balance[kind] + first, Burst(rate));
  }
}

void
LocalShare::Accept(const Allotment& aAllotment,
                   TimePoint aSentAt,
                   TimePoint aNow)
{
  this->SetHeld(aAllotment.amounts, aSentAt + aAllotment.validFor, aNow);
  this->reportAfter = aAllotment.validFor / kReportsPerAllotment;
  this->single = aAllotment.single;
  this->admitted = aAllotment.admits;
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
  const double whole = this->limits[LimitKind::ConcurrentRequests];
  part[LimitKind::ConcurrentRequests] =
    whole == kNoLimit
      ? kNoLimit
      : std::floor(whole / members) +
          (aRank < std::fmod(std::floor(whole), members) ? 1 : 0);
  // A daemon that held less than its fallback keeps that amount, so that the
  // fallbacks and the allotments that others still hold do not exceed the
  // limit.
  if (aNow - this->heldUntil < kIdleAfter) {
    for (const auto& row : EnumNames<LimitKind>::kTable) {
      part[row.value] = std::min(part[row.value], this->held[row.value]);
    }
  }
  this->SetHeld(part, aNow + kReportPeriod, aNow);
  this->reportAfter = kReportPeriod;
  this->single = false;
}

LimitAmounts
LocalShare::Held(TimePoint aNow) const
{
  return aNow < this->heldUntil ? this->held : LimitAmounts();
}

bool
LocalShare::IsIdle(TimePoint aNow) const
{
  return this->running == 0 && aNow - this->lastAsked >= kIdleAfter &&
         (aNow >= this->heldUntil || this->held == LimitAmounts());
}

} // namespace wigeonwalk
