#include "wigeonwalk/entry/peer_loads.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

void
AddTo(const Fleet& aFleet, const PeerBooking& aBooking)
{
  if (const auto runner = aFleet.Find(aBooking.runner)) {
    runner->othersInFlight += aBooking.requests;
    runner->othersTokensInFlight += aBooking.tokens;
  }
}

} // namespace

void
PeerLoads::Book(const HostId& aDaemon,
                PeerBooking aBooking,
                const Fleet& aFleet)
{
  AddTo(aFleet, aBooking);
  this->bookings.Book(aDaemon, std::move(aBooking));
}

void
PeerLoads::Record(const HostId& aDaemon, RunnerLoads aLoads, TimePoint aNow)
{
  this->reports[aDaemon] = { std::move(aLoads), aNow };
  this->bookings.NoteReport(aDaemon);
}

void
PeerLoads::ApplyTo(const Fleet& aFleet, TimePoint aNow)
{
  for (const auto& runner : aFleet.All()) {
    runner->othersInFlight = 0;
    runner->othersTokensInFlight = 0;
  }
  std::erase_if(this->reports, [aNow](const auto& aReport) {
    return aNow - aReport.second.at > kReportLifetime;
  });
  for (const auto& [daemon, report] : this->reports) {
    for (const RunnerLoadRow& row : report.loads.rows) {
      if (const auto runner = aFleet.Find(row.runner)) {
        runner->othersInFlight += row.inFlight;
        runner->othersTokensInFlight += row.tokensInFlight;
      }
    }
  }
  for (const PeerBooking& booking : this->bookings.All(aNow)) {
    AddTo(aFleet, booking);
  }
}

RunnerLoads
LoadsOf(const Fleet& aFleet)
{
  RunnerLoads loads;
  for (const auto& runner : aFleet.All()) {
    if (runner->inFlight > 0) {
      loads.rows.push_back(
        { runner->entry.id, runner->inFlight, runner->tokensInFlight });
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
