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

// What a share says to a request.
enum class ShareDecision
{
  Admitted,
  // The limit is used up; nothing ran.
  Refused,
  // This daemon holds no allotment. The caller reports to the owner at once
  // and tries again, or calls UseFallback where the owner does not answer.
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

// A decision, and which limit was used up where it is not Admitted.
struct ShareAnswer
{
  ShareDecision decision = ShareDecision::Admitted;
  LimitKind exhausted = LimitKind::RequestsPerSecond;
};

// Counts a daemon's use against its allotment without a message for each
// request. One thread.
class LocalShare
{
public:
  LocalShare(LimitAmounts aLimits, TimePoint aNow);

  // Takes a changed document into account.
  void SetLimits(const LimitAmounts& aLimits) { this->limits = aLimits; }

  // Asks to start a request that is expected to use some tokens.
  ShareAnswer TryStart(double aTokens, TimePoint aNow);

  // Ends a request; charges the tokens that the estimate missed.
  void Finish(double aMissedTokens, TimePoint aNow);

  // True where the owner is to be told: a third of the allotment's time has
  // passed, or one report period since something was refused.
  bool IsReportDue(TimePoint aNow) const;

  // Returns the demand since the last call as amounts, smoothed over about two
  // seconds, and starts a new span. Zero tells the owner that nothing is
  // needed.
  LimitAmounts TakeDemand(TimePoint aNow);

  // Takes an allotment. It lasts from the time at which the report was sent.
  void Accept(const Allotment& aAllotment, TimePoint aSentAt, TimePoint aNow);

  // Uses limit / members for one report period, because no owner answers.
  // Ranks from zero divide what is left over of a whole-numbered limit.
  void UseFallback(std::uint32_t aMembers, std::uint32_t aRank, TimePoint aNow);

  // What this daemon may use now; zero without allotment.
  LimitAmounts Held(TimePoint aNow) const;

  // True where the share can be dropped.
  bool IsIdle(TimePoint aNow) const;

  std::uint32_t Running() const { return this->running; }

private:
  void Refill(TimePoint aNow);
  void SetHeld(const LimitAmounts& aHeld, TimePoint aUntil, TimePoint aNow);

  LimitAmounts limits;
  LimitAmounts held;
  TimePoint heldUntil;
  // Requests and tokens that may start now.
  LimitAmounts balance;
  TimePoint refilledAt;
  std::uint32_t running = 0;
  // Demand since `spanStart`.
  LimitAmounts span;
  TimePoint spanStart;
  LimitAmounts smoothed;
  TimePoint lastAsked;
  // Time between reports, and whether a request was turned away since the last.
  Duration reportAfter = kReportPeriod;
  bool turnedAway = false;
};

} // namespace wigeonwalk
