// Simulates daemons that share one limit, in fixed steps of virtual time.
//
//   LimitFleet fleet({ .daemons = 350, .limit = 2000, .seed = 1 });
//   fleet.Run(30s);
//   fleet.StopDaemon(0);  // the owner of the limit stops
//   fleet.Run(30s);
#pragma once

#include "wigeonwalk/limits/limit_owner.h"
#include "wigeonwalk/limits/local_share.h"

#include <cstdint>
#include <random>
#include <vector>

namespace wigeonwalk {

struct LimitFleetSettings
{
  std::uint32_t daemons = 6;
  // Limit in requests per second, and the offered load as a multiple of it.
  double limit = 200;
  double load = 1.5;
  std::uint64_t seed = 1;
};

// A fleet that serves one pair of organisation and service. Arrivals form a
// Poisson process for each daemon, with rates in proportion to 1 / rank. The
// daemon with the lowest index on each side of a partition owns the pair.
// Daemons learn of a membership change after the failure detection time.
class LimitFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit LimitFleet(const LimitFleetSettings& aSettings);

  void Run(Duration aTime);

  // Stops a daemon. Its callers are spread over the others.
  void StopDaemon(std::uint32_t aDaemon);
  // Partitions the last `aDaemons` daemons from the others; zero heals the
  // partition.
  void SetPartition(std::uint32_t aDaemons);
  // Reverses the order of daemons by load: the busiest becomes the least busy.
  void ReverseSkew();

  // Returns the number of requests admitted in each second.
  const std::vector<std::uint32_t>& Admitted() const { return this->admitted; }
  // Returns the number of reports sent to owners. A reachable owner sends one
  // answer to each.
  std::uint64_t Reports() const { return this->reports; }
  // Returns the time from a failure until the other daemons have detected it.
  Duration DetectionTime() const;

private:
  struct Daemon
  {
    LocalShare share;
    LimitOwner owner;
    ReachableFraction reachable;
    double weight = 0;
    bool alive = true;
    // Side of the partition, and the members known to this daemon as indices.
    std::uint32_t side = 0;
    std::vector<std::uint32_t> members;
    TimePoint nextOnDemandReportAt;
  };

  void UpdateMembers();
  void ReportToOwner(std::uint32_t aFrom, bool aRequestWaits);
  void HandleArrival(std::uint32_t aDaemon);

  LimitFleetSettings settings;
  LimitAmounts limits;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::hours(24) };
  TimePoint start = now;
  TimePoint membershipUpdateAt = TimePoint::max();
  std::vector<Daemon> daemons;
  std::vector<std::uint32_t> admitted;
  std::uint64_t reports = 0;
};

} // namespace wigeonwalk
