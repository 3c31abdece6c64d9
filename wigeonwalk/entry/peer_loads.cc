#include "wigeonwalk/entry/peer_loads.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

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
PeerLoads::Record(const HostId& aDaemon, RunnerLoads aLoads, TimePoint aNow)
{
  const TimePoint until = aNow + kReportLifetime;
  std::vector<PeerBooking> rows;
  for (RunnerLoadRow& row : aLoads.rows) {
    rows.push_back(
      { std::move(row.runner), row.tokensInFlight, row.inFlight, until });
  }
  this->bookings.NoteReport(aDaemon, std::move(rows));
}

void
PeerLoads::ApplyTo(const Fleet& aFleet,
                   const std::map<HostId, EntryMember>& aMembers,
                   TimePoint aNow)
{
  this->bookings.KeepOnly(aMembers);
  for (const auto& runner : aFleet.All()) {
    runner->othersInFlight = 0;
    runner->othersTokensInFlight = 0;
  }
  for (const PeerBooking& booking : this->bookings.All(aNow)) {
    if (const auto runner = aFleet.Find(booking.runner)) {
      runner->othersInFlight += booking.requests;
      runner->othersTokensInFlight += booking.tokens;
    }
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
