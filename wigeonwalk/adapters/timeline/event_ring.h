// Ring buffer of the latest events of a process.
//
//   EventRing ring(timer, hybrid, settings.host, settings.timelineEvents);
//   ring.Record({ .kind = EventKind::RequestPlaced, .request = id });
#pragma once

#include "wigeonwalk/adapters/timeline/stamped_event.h"
#include "wigeonwalk/ports/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Upper bound on the request id, subject and detail of a stored event, in bytes
// each; longer ones are truncated. It bounds the memory of a full ring.
inline constexpr std::size_t kMaxEventText = 128;

// Stores the latest events, stamped by a hybrid logical clock. Not thread-safe.
// The clocks must outlive the ring.
template<Clock C>
class EventRing
{
public:
  // aHybrid must be the clock that stamps the daemon's messages, so that events
  // before the sending of a message precede the events after its receipt. A
  // capacity of zero counts as one.
  EventRing(const C& aClock,
            HybridClock& aHybrid,
            HostId aHost,
            std::size_t aCapacity)
    : clock(aClock)
    , hybrid(aHybrid)
    , host(std::move(aHost))
    , capacity(std::max<std::size_t>(aCapacity, 1))
  {
  }

  // Stamps and stores the event; a full ring overwrites its oldest event. An
  // event without a time gets the current time.
  void Record(Event aEvent)
  {
    const TimePoint now = this->clock.Now();
    if (aEvent.at == TimePoint()) {
      aEvent.at = now;
    }
    if (aEvent.request.Text().size() > kMaxEventText) {
      aEvent.request =
        RequestId(aEvent.request.Text().substr(0, kMaxEventText));
    }
    Truncate(aEvent.subject);
    Truncate(aEvent.detail);
    StampedEvent stamped{ this->hybrid.Stamp(now),
                          this->host,
                          std::move(aEvent) };
    if (this->events.size() < this->capacity) {
      this->events.push_back(std::move(stamped));
    } else {
      this->events[this->recorded % this->capacity] = std::move(stamped);
    }
    ++this->recorded;
  }

  // Returns the stored events, oldest first; if a request is given, only the
  // events of that request.
  std::vector<StampedEvent> Events(const RequestId& aRequest = {}) const
  {
    std::vector<StampedEvent> found;
    const std::size_t size = this->events.size();
    const std::uint64_t oldest = this->recorded - size;
    for (std::uint64_t i = oldest; i < this->recorded; ++i) {
      const auto& stamped = this->events[i % this->capacity];
      if (aRequest.Empty() || stamped.event.request == aRequest) {
        found.push_back(stamped);
      }
    }
    return found;
  }

  // Returns how many events were overwritten by later ones.
  std::uint64_t Dropped() const { return this->recorded - this->events.size(); }

private:
  static void Truncate(std::string& aText)
  {
    if (aText.size() > kMaxEventText) {
      // A new string releases the memory of the long one, unlike resize().
      aText = aText.substr(0, kMaxEventText);
    }
  }

  const C& clock;
  HybridClock& hybrid;
  HostId host;
  std::size_t capacity;
  std::uint64_t recorded = 0;
  std::vector<StampedEvent> events;
};

} // namespace wigeonwalk
