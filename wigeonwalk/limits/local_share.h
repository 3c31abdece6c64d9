// One daemon's share of an organisation's limits in a service.
//
//   ShareAnswer answer = share.TryStart(estimatedTokens, now);
//   if (answer.decision == ShareDecision::AskOwner) { ... report at once ... }
//   share.Finish(usedTokens - estimatedTokens, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/limits/limit_amounts.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// Decision of a share on a request.
enum class ShareDecision
{
  Admitted,
  // The limit is exhausted; the request has not run.
  Refused,
  // This daemon holds no allotment. The caller must send a report to the owner
  // at once and try again, or call UseFallback first if the owner does not
  // answer. A second AskOwner is a refusal.
  AskOwner,
};

template<>
struct EnumNames<ShareDecision>
{
  static constexpr std::array<EnumName<ShareDecision>, 3> kTable{ {
    { ShareDecision::Admitted, "admitted" },
    { ShareDecision::Refused, "refused" },
    { ShareDecision::AskOwner, "ask-owner" },
  } };
};
static_assert(HasCompleteTable<ShareDecision>());

// A decision, and the limit that was exhausted if it is not Admitted.
struct ShareAnswer
{
  ShareDecision decision = ShareDecision::Admitted;
  LimitKind exhausted = LimitKind::RequestsPerSecond;
};

// Enforces a daemon's allotment locally, without a message for each request.
// Not thread-safe.
class LocalShare
{
public:
  LocalShare(LimitAmounts aLimits, TimePoint aNow);

  // Sets the limits of a changed service document.
  void SetLimits(const LimitAmounts& aLimits) { this->limits = aLimits; }

  // Tries to start a request that is estimated to use `aTokens`.
  ShareAnswer TryStart(double aTokens, TimePoint aNow);

  // Ends a request and charges the tokens that it used beyond the estimate;
  // negative if it used fewer.
  void Finish(double aExtraTokens, TimePoint aNow);

  // Returns true if a report must be sent to the owner: a third of the
  // allotment's validity has passed, or one report period if a request was
  // refused under an uncontended allotment, or the last individually admitted
  // request has ended.
  bool IsReportDue(TimePoint aNow) const;

  // Returns the demand since the last call, smoothed with a half-life of three
  // seconds, and starts a new measurement. Zero tells the owner that nothing is
  // needed.
  LimitAmounts TakeDemand(TimePoint aNow);

  // Applies an allotment, which is valid from the time the report was sent.
  void Accept(const Allotment& aAllotment, TimePoint aSentAt, TimePoint aNow);

  // Uses limit / members for one report period, because no owner answers. The
  // remainder of the limit on concurrent requests goes to the lowest ranks,
  // which start at zero.
  void UseFallback(std::uint32_t aMembers, std::uint32_t aRank, TimePoint aNow);

  // Returns the amounts that this daemon may use now; zero without allotment.
  LimitAmounts Held(TimePoint aNow) const;

  // Returns true if the share can be removed.
  bool IsIdle(TimePoint aNow) const;

  std::uint32_t Running() const { return this->running; }

private:
  void Refill(TimePoint aNow);
  void SetHeld(const LimitAmounts& aHeld, TimePoint aUntil, TimePoint aNow);

  LimitAmounts limits;
  LimitAmounts held;
  TimePoint heldUntil;
  // Token buckets: requests and tokens that may be used now.
  LimitAmounts balance;
  TimePoint refilledAt;
  std::uint32_t running = 0;
  // Demand since `measuredSince`.
  LimitAmounts measuredDemand;
  TimePoint measuredSince;
  LimitAmounts smoothedDemand;
  TimePoint lastRequestAt;
  // Interval between reports, and whether a request was refused since the last
  // report.
  Duration reportInterval = kReportPeriod;
  bool refusedSinceReport = false;
  // Whether the owner admits each request individually, and whether it has
  // admitted one that has not started yet.
  bool individual = false;
  bool admitted = false;
};

} // namespace wigeonwalk
