#include "wigeonwalk/fleet/peer_bookings.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

void
PeerBookings::Book(const HostId& aDaemon, PeerBooking aBooking)
{
  if (this->count >= kMaxBookings) {
    return;
  }
  this->byDaemon[aDaemon].push_back(std::move(aBooking));
  ++this->count;
}

void
PeerBookings::NoteReport(const HostId& aDaemon)
{
  const auto found = this->byDaemon.find(aDaemon);
  if (found != this->byDaemon.end()) {
    this->count -= found->second.size();
    this->byDaemon.erase(found);
  }
}

std::vector<PeerBooking>
PeerBookings::All(TimePoint aNow)
{
  std::vector<PeerBooking> all;
  for (auto& [daemon, bookings] : this->byDaemon) {
    this->count -= std::erase_if(bookings, [aNow](const PeerBooking& aBooking) {
      return aBooking.until <= aNow;
    });
    all.insert(all.end(), bookings.begin(), bookings.end());
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
