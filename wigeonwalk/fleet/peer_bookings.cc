#include "wigeonwalk/fleet/peer_bookings.h"

#include <utility>

namespace wigeonwalk {

std::size_t
PeerBookings::Count() const
{
  std::size_t count = 0;
  for (const auto& [daemon, bookings] : this->byDaemon) {
    count += bookings.size();
  }
  return count;
}

PeerBooking
PeerBookings::Book(const HostId& aDaemon, PeerBooking aBooking)
{
  PeerBooking before;
  ByRunner& bookings = this->byDaemon[aDaemon];
  const UpstreamId runner = aBooking.runner;
  if (const auto found = bookings.find(runner); found != bookings.end()) {
    before = std::move(found->second);
    bookings.erase(found);
  }
  if (aBooking.requests > 0 && this->Count() < kMaxBookings) {
    bookings.emplace(runner, std::move(aBooking));
  }
  return before;
}

void
PeerBookings::NoteReport(const HostId& aDaemon)
{
  this->byDaemon.erase(aDaemon);
}

std::vector<PeerBooking>
PeerBookings::All(TimePoint aNow)
{
  std::vector<PeerBooking> all;
  for (auto& [daemon, bookings] : this->byDaemon) {
    std::erase_if(bookings, [aNow](const auto& aEntry) {
      return aEntry.second.until <= aNow;
    });
    for (const auto& [runner, booking] : bookings) {
      all.push_back(booking);
    }
  }
  std::erase_if(this->byDaemon,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  return all;
}

std::uint32_t
AnnouncementsOf(std::size_t aDaemons, std::size_t aHeard)
{
  if (aHeard == 0 || aDaemons <= aHeard) {
    return 1;
  }
  return static_cast<std::uint32_t>((aDaemons + aHeard / 2) / aHeard);
}

} // namespace wigeonwalk
