// Divides limits between daemons by their demand.
//
//   Allotment answer = owner.Answer(report, limits, reachable.Now(), now);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/limits/limit_amounts.h"

#include <cstdint>
#include <deque>
#include <map>

namespace wigeonwalk {

// The part of the fleet that this daemon reaches. A daemon that was lost still
// counts for the hold time, since it may serve on the other side of a
// partition; one that left does not.
class ReachableFraction
{
public:
  // Longer than the hour for which regions are cut from each other now and
  // then.
  static constexpr Duration kHoldTime = std::chrono::minutes(70);

  // Records how many daemons are reachable, with this one, and how many have
  // left as planned since the last call.
  void Observe(std::uint32_t aReachable, std::uint32_t aLeft, TimePoint aNow);

  // Reachable daemons as a share of all that may be serving, and the number of
  // those, by which a fallback divides.
  Reach Now() const;

private:
  struct Sample
  {
    TimePoint at;
    std::uint32_t members;
  };

  std::uint32_t reachable = 1;
  // Falling numbers of members within the hold time; the first is the highest.
  std::deque<Sample> samples;
};

// Allots the limits of the pairs that this daemon owns. What daemons may hold
// at one time never adds up to more than the limit that this owner knows of: an
// increase waits until the reports of the others confirm their decrease. After
// a change of members, pairs that are new here are only renewed and given
// small parts until all allotments by an earlier owner have been reported or
// have expired. One thread.
class LimitOwner
{
public:
  // A daemon that stops reporting may use its fallback, limit / total, until
  // the members know that it is gone. Detection takes up to 4 x log10(350 + 1)
  // = 10 s of suspicion and a probe period or two.
  static constexpr Duration kMissingTime = std::chrono::seconds(15);

  // Demand is met with this factor where there is plenty, so that a daemon can
  // grow between reports and a new one still finds room.
  static constexpr double kHeadroom = 2;

  // How long an owner that took over learns what is held. Until then nobody
  // gets more than it held, or limit / total.
  static constexpr Duration kLearningTime = kColdTime / kReportsPerAllotment;

  // Records that pairs may have come from another owner.
  void MembersChanged(TimePoint aNow) { this->changedAt = aNow; }

  // Answers one report.
  Allotment Answer(const DemandReport& aReport,
                   const LimitAmounts& aLimits,
                   const Reach& aReach,
                   TimePoint aNow);

  // Drops pairs that nobody reports any more.
  void Forget(TimePoint aNow);

  std::size_t Pairs() const { return this->pairs.size(); }

private:
  struct Holder
  {
    LimitAmounts demand;
    // What it reported, and what it was last given.
    LimitAmounts held;
    LimitAmounts granted;
    TimePoint expiresAt;
  };

  struct Pair
  {
    // Until then, other allotments may be out that were not reported here.
    TimePoint learnsUntil;
    std::map<HostId, Holder> holders;
  };

  // What one daemon may be given of one kind.
  struct Part
  {
    double amount = 0;
    // More than half of the pool is wanted.
    bool hot = false;
  };

  static Part Grant(const Pair& aPair,
                    const HostId& aHost,
                    LimitKind aKind,
                    double aPool,
                    double aFallback,
                    TimePoint aNow);

  std::map<LimitKey, Pair> pairs;
  TimePoint changedAt;
};

} // namespace wigeonwalk
