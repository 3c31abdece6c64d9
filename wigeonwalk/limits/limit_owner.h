// Divides the limits of organisations between daemons by demand.
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

// Tracks the fraction of the fleet that this daemon can reach. A lost daemon
// still counts as serving for the hold time, since it may serve on the other
// side of a partition; a daemon that left as planned does not.
class ReachableFraction
{
public:
  // Longer than the partitions between regions that occur, which last for up to
  // an hour.
  static constexpr Duration kHoldTime = std::chrono::minutes(70);

  // Records how many daemons are reachable, including this one, and how many
  // have left as planned since the last call.
  void Observe(std::uint32_t aReachable, std::uint32_t aLeft, TimePoint aNow);

  // Returns the reachable daemons as a fraction of all that may be serving, and
  // the number of the latter, by which a fallback divides the limit.
  FleetReach Now() const;

private:
  struct Sample
  {
    TimePoint at;
    std::uint32_t members;
  };

  std::uint32_t reachable = 1;
  // Member counts within the hold time in decreasing order.
  std::deque<Sample> samples;
};

// Allots the limits of the pairs of organisation and service that this daemon
// owns. The amounts that daemons may hold at one time never add up to more than
// the limit that this owner knows of: an increase waits until the reports of
// the other daemons confirm their decrease. After a membership change, daemons
// keep what they hold of a pair that is new here, or get a small share, until
// all allotments of an earlier owner have been reported or have expired. Not
// thread-safe.
class LimitOwner
{
public:
  // How long after its allotment expired a daemon that stopped reporting is
  // assumed to use its fallback, limit / total: until the members have detected
  // its failure, which takes a suspicion time of up to 4 x log10(350 + 1) = 10
  // s and one or two probe periods.
  static constexpr Duration kMissingHolderTime = std::chrono::seconds(15);

  // A daemon gets up to this multiple of its demand, so that its load can grow
  // between reports while part of the limit is left for a new daemon.
  static constexpr double kDemandHeadroom = 2;

  // How long a new owner waits for the reports of the amounts held. Until then
  // no daemon gets more than it holds or than limit / total.
  static constexpr Duration kLearningTime =
    kUncontendedValidity / kReportsPerAllotment;

  // Records that this daemon may have become the owner of more pairs.
  void MembersChanged(TimePoint aNow) { this->changedAt = aNow; }

  // Answers one report.
  Allotment Answer(const DemandReport& aReport,
                   const LimitAmounts& aLimits,
                   const FleetReach& aReach,
                   TimePoint aNow);

  // Removes pairs that no daemon reports any more.
  void RemoveExpired(TimePoint aNow);

  std::size_t Pairs() const { return this->pairs.size(); }

private:
  struct Holder
  {
    LimitAmounts demand;
    // The amounts that it reported, and those that it was granted last.
    LimitAmounts held;
    LimitAmounts granted;
    TimePoint expiresAt;
  };

  struct Pair
  {
    // Token buckets for individual admission, refilled with the rates that no
    // daemon holds.
    LimitAmounts balance;
    TimePoint refilledAt;
    // Until then, daemons may hold allotments that were not yet reported here.
    TimePoint learningUntil;
    std::map<HostId, Holder> holders;
  };

  // One daemon's part of one kind of limit.
  struct Part
  {
    double amount = 0;
    // True if more than half of the pool is demanded.
    bool contended = false;
  };

  static Part Grant(const Pair& aPair,
                    const HostId& aHost,
                    LimitKind aKind,
                    double aPool,
                    double aFallback,
                    TimePoint aNow);

  // Admits one request of a daemon with little demand, or renews the allotment
  // of its running requests.
  static Allotment AnswerIndividually(Pair& aPair,
                                      const DemandReport& aReport,
                                      const LimitAmounts& aPools,
                                      TimePoint aNow);

  std::map<LimitKey, Pair> pairs;
  TimePoint changedAt;
};

} // namespace wigeonwalk
