// Daemons that share one limit, in steps of virtual time.
//
//   LimitFleet fleet({ .daemons = 350, .limit = 2000, .seed = 1 });
//   fleet.Run(30s);
//   fleet.Lose(0);
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
  // Requests a second, and what is offered as a multiple of it.
  double limit = 200;
  double load = 1.5;
  std::uint64_t seed = 1;
};

// A fleet with one pair of organisation and service. Arrivals are Poisson, by
// daemon in proportion to 1 / rank. The daemon of lowest number on each side of
// a partition owns the pair. A change of members is known after the time that
// failure detection takes.
class LimitFleet
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit LimitFleet(const LimitFleetSettings& aSettings);

  void Run(Duration aTime);

  // Stops a daemon; its callers go to the others.
  void Lose(std::uint32_t aDaemon);
  // Cuts the last daemons from the others, or joins them again with zero.
  void Cut(std::uint32_t aDaemons);
  // Makes the busiest daemon the least busy one, and so on.
  void Reverse();

  // Admitted requests by second.
  const std::vector<std::uint32_t>& Admitted() const { return this->admitted; }
  // Reports, each with one answer.
  std::uint64_t Reports() const { return this->reports; }
  // Time that failure detection takes.
  Duration DetectionTime() const;

private:
  struct Daemon
  {
    LocalShare share;
    LimitOwner owner;
    ReachableFraction reachable;
    double weight = 0;
    bool alive = true;
    // Which side of a partition, and the members that it believes in.
    std::uint32_t side = 0;
    std::vector<std::uint32_t> members;
    TimePoint askAgainAt;
  };

  void UpdateMembers();
  void ReportTo(std::uint32_t aFrom);
  void Arrive(std::uint32_t aDaemon);

  LimitFleetSettings settings;
  LimitAmounts limits;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::hours(24) };
  TimePoint start = now;
  TimePoint membersKnownAt = TimePoint::max();
  std::vector<Daemon> daemons;
  std::vector<std::uint32_t> admitted;
  std::uint64_t reports = 0;
};

} // namespace wigeonwalk
