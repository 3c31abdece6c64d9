#include "experiments/limits/limit_fleet.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

namespace {

const LimitKey kKey{ OrganisationId("large"), ServiceName("advice") };

// Minimum time between two reports that a daemon sends for a waiting request
// instead of on schedule. Further requests that need the owner within this time
// are not admitted.
constexpr Duration kMinOnDemandReportInterval = std::chrono::milliseconds(100);

HostId
HostOf(std::uint32_t aDaemon)
{
  return HostId("host-" + std::to_string(aDaemon));
}

} // namespace

LimitFleet::LimitFleet(const LimitFleetSettings& aSettings)
  : settings(aSettings)
  , random(aSettings.seed)
{
  this->limits[LimitKind::ConcurrentRequests] = kNoLimit;
  this->limits[LimitKind::RequestsPerSecond] = aSettings.limit;
  this->limits[LimitKind::TokensPerSecond] = kNoLimit;
  for (std::uint32_t i = 0; i < aSettings.daemons; ++i) {
    this->daemons.push_back({ .share = LocalShare(this->limits, this->now),
                              .weight = 1.0 / (i + 1) });
  }
  // Without this, the owner, which has the lowest index, would be the busiest
  // daemon.
  std::shuffle(this->daemons.begin(), this->daemons.end(), this->random);
  this->UpdateMembers();
}

Duration
LimitFleet::DetectionTime() const
{
  const double suspicion = 4 * std::log10(this->settings.daemons + 1.0);
  return FromSeconds(std::max(3.0, suspicion) + 2);
}

void
LimitFleet::UpdateMembers()
{
  this->membershipUpdateAt = TimePoint::max();
  for (Daemon& daemon : this->daemons) {
    daemon.members.clear();
    for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
      if (this->daemons[i].alive && this->daemons[i].side == daemon.side) {
        daemon.members.push_back(i);
      }
    }
    const auto count = static_cast<std::uint32_t>(daemon.members.size());
    daemon.reachable.Observe(count, 0, this->now);
    daemon.owner.MembersChanged(this->now);
  }
}

void
LimitFleet::StopDaemon(std::uint32_t aDaemon)
{
  this->daemons[aDaemon].alive = false;
  this->membershipUpdateAt = this->now + this->DetectionTime();
}

void
LimitFleet::SetPartition(std::uint32_t aDaemons)
{
  for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
    this->daemons[i].side = i + aDaemons >= this->daemons.size() ? 1 : 0;
  }
  this->membershipUpdateAt = this->now + this->DetectionTime();
}

void
LimitFleet::ReverseSkew()
{
  for (Daemon& daemon : this->daemons) {
    const double rank = 1 / daemon.weight;
    daemon.weight = 1 / (this->settings.daemons + 1 - rank);
  }
}

void
LimitFleet::ReportToOwner(std::uint32_t aFrom, bool aRequestWaits)
{
  Daemon& daemon = this->daemons[aFrom];
  Daemon& owner = this->daemons[daemon.members.front()];
  const DemandReport report{ kKey,
                             HostOf(aFrom),
                             daemon.share.TakeDemand(this->now),
                             daemon.share.Held(this->now),
                             aRequestWaits };
  ++this->reports;
  if (!owner.alive || owner.side != daemon.side) {
    const FleetReach reach = daemon.reachable.Now();
    daemon.share.UseFallback(reach.total, aFrom, this->now);
    return;
  }
  const Allotment answer =
    owner.owner.Answer(report, this->limits, owner.reachable.Now(), this->now);
  daemon.share.Accept(answer, this->now, this->now);
}

void
LimitFleet::HandleArrival(std::uint32_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  ShareAnswer answer = daemon.share.TryStart(1, this->now);
  if (answer.decision == ShareDecision::AskOwner &&
      this->now >= daemon.nextOnDemandReportAt) {
    daemon.nextOnDemandReportAt = this->now + kMinOnDemandReportInterval;
    this->ReportToOwner(aDaemon, true);
    answer = daemon.share.TryStart(1, this->now);
  }
  if (answer.decision == ShareDecision::Admitted) {
    daemon.share.Finish(0, this->now);
    ++this->admitted.back();
  }
}

void
LimitFleet::Run(Duration aTime)
{
  const TimePoint end = this->now + aTime;
  for (; this->now < end; this->now += kStep) {
    if ((this->now - this->start) % std::chrono::seconds(1) == Duration(0)) {
      this->admitted.push_back(0);
    }
    if (this->now >= this->membershipUpdateAt) {
      this->UpdateMembers();
    }
    double sum = 0;
    for (const Daemon& daemon : this->daemons) {
      sum += daemon.alive ? daemon.weight : 0;
    }
    const double offered =
      this->settings.limit * this->settings.load * ToSeconds(kStep);
    for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      if (!daemon.alive) {
        continue;
      }
      std::poisson_distribution<int> arrivals(offered * daemon.weight / sum);
      for (int left = arrivals(this->random); left > 0; --left) {
        this->HandleArrival(i);
      }
      if (daemon.share.IsReportDue(this->now) &&
          !daemon.share.IsIdle(this->now)) {
        this->ReportToOwner(i, false);
      }
    }
  }
}

} // namespace wigeonwalk
