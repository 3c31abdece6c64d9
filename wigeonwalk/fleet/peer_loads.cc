#include "wigeonwalk/fleet/peer_loads.h"

#include "wigeonwalk/fleet/unheard_load.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace wigeonwalk {

namespace {

// Short requests of this daemon and of those that report, at one service's
// runners.
struct ServiceSample
{
  std::vector<std::shared_ptr<Runner>> runners;
  std::uint64_t requests = 0;
  std::uint64_t tokens = 0;
};

std::uint64_t
SampledAt(const Runner& aRunner)
{
  return aRunner.inFlight - aRunner.longPrompts.count + aRunner.othersInFlight;
}

// Adds the short requests of the daemons that don't report, which are expected
// to be like those of the others.
void
AddUnheard(const Fleet& aFleet, const LoadMembers& aMembers)
{
  std::map<ServiceName, ServiceSample> services;
  for (const auto& runner : aFleet.All()) {
    ServiceSample& sample = services[runner->entry.service];
    sample.runners.push_back(runner);
    sample.requests += SampledAt(*runner);
    sample.tokens += runner->tokensInFlight - runner->longPrompts.tokens +
                     runner->othersTokensInFlight;
  }
  for (const auto& [service, sample] : services) {
    const UnheardLoad unheard({ aMembers.members.size(),
                                aMembers.reporting + 1,
                                sample.runners.size(),
                                sample.requests });
    const double tokens =
      static_cast<double>(sample.tokens) /
      static_cast<double>(std::max<std::uint64_t>(sample.requests, 1));
    for (const auto& runner : sample.runners) {
      const double requests = unheard.At(SampledAt(*runner));
      // Without fractions: a nearly idle fleet counts as idle.
      runner->othersInFlight += static_cast<std::uint32_t>(requests);
      runner->othersTokensInFlight +=
        static_cast<std::uint64_t>(requests * tokens);
    }
  }
}

} // namespace

void
PeerLoads::Book(const HostId& aDaemon,
                PeerBooking aBooking,
                const Fleet& aFleet)
{
  const auto runner = aFleet.Find(aBooking.runner);
  const std::uint32_t requests = aBooking.requests;
  const std::uint64_t tokens = aBooking.tokens;
  const PeerBooking before = this->bookings.Book(aDaemon, std::move(aBooking));
  if (runner == nullptr) {
    return;
  }
  // A runner that has registered again since has no sums yet.
  runner->othersInFlight +=
    requests - std::min(before.requests, runner->othersInFlight);
  runner->othersTokensInFlight +=
    tokens - std::min(before.tokens, runner->othersTokensInFlight);
}

void
PeerLoads::Record(const HostId& aDaemon,
                  RunnerLoads aLoads,
                  ReportScope aScope,
                  TimePoint aNow)
{
  this->reports[aDaemon] = { std::move(aLoads), aNow };
  if (aScope == ReportScope::All) {
    this->bookings.NoteReport(aDaemon);
  }
}

void
PeerLoads::ApplyTo(const Fleet& aFleet,
                   const LoadMembers& aMembers,
                   TimePoint aNow)
{
  this->bookings.KeepOnly(aMembers.members);
  std::erase_if(this->reports, [aNow](const auto& aReport) {
    return aNow - aReport.second.at > kReportLifetime;
  });
  for (const auto& runner : aFleet.All()) {
    runner->othersInFlight = 0;
    runner->othersTokensInFlight = 0;
  }
  for (const auto& [daemon, report] : this->reports) {
    for (const RunnerLoadRow& row : report.loads.rows) {
      if (const auto runner = aFleet.Find(row.runner)) {
        runner->othersInFlight += row.inFlight;
        runner->othersTokensInFlight += row.tokensInFlight;
      }
    }
  }
  if (aMembers.scope == ReportScope::ShortRequests) {
    AddUnheard(aFleet, aMembers);
  }
  for (const PeerBooking& booking : this->bookings.All(aNow)) {
    if (const auto runner = aFleet.Find(booking.runner)) {
      runner->othersInFlight += booking.requests;
      runner->othersTokensInFlight += booking.tokens;
    }
  }
}

RunnerLoads
LoadsOf(const Fleet& aFleet, ReportScope aScope)
{
  RunnerLoads loads;
  for (const auto& runner : aFleet.All()) {
    const LongPrompts leftOut = aScope == ReportScope::ShortRequests
                                  ? runner->longPrompts
                                  : LongPrompts{};
    if (runner->inFlight > leftOut.count) {
      loads.rows.push_back({ runner->entry.id,
                             runner->inFlight - leftOut.count,
                             runner->tokensInFlight - leftOut.tokens });
    }
  }
  return loads;
}

std::vector<EntryMember>
NearestMembers(const HostId& aSelf,
               const AvailabilityZone& aZone,
               std::vector<EntryMember> aMembers,
               std::size_t aCount)
{
  const auto next = std::find_if(
    aMembers.begin(), aMembers.end(), [&aSelf](const EntryMember& aMember) {
      return aSelf < aMember.host;
    });
  std::rotate(aMembers.begin(), next, aMembers.end());
  std::stable_partition(
    aMembers.begin(), aMembers.end(), [&aZone](const EntryMember& aMember) {
      return aMember.zone == aZone;
    });
  aMembers.resize(std::min(aMembers.size(), aCount));
  return aMembers;
}

} // namespace wigeonwalk
