// Records each event in the timeline and writes it as a log line.
//
//   EventRecorder recorder(timer, hybridClock, settings, log);
//   recorder.Record({ .kind = EventKind::StopRequested });
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/log/log.h"
#include "wigeonwalk/adapters/timeline/event_ring.h"
#include "wigeonwalk/serving/daemon_settings.h"

#include <utility>

namespace wigeonwalk {

// Satisfies EventSink. One thread only.
class EventRecorder
{
public:
  EventRecorder(const SystemTimer& aTimer,
                HybridClock& aHybridClock,
                const DaemonSettings& aSettings,
                Log& aLog)
    : ring(aTimer, aHybridClock, aSettings.host, aSettings.timelineEvents)
    , timer(aTimer)
    , log(aLog)
  {
  }

  void Record(Event aEvent)
  {
    const UpstreamId subject(aEvent.subject);
    if (aEvent.verdict) {
      // The detail of a refusal is the name of its reason code. Any other
      // detail text is not logged.
      const ReasonCode reason =
        ParseName<ReasonCode>(aEvent.detail).value_or(ReasonCode::None);
      this->log.Write(this->timer.Now(),
                      LogLevel::Info,
                      "step",
                      aEvent.request,
                      { { LogKey::Step, aEvent.kind },
                        { LogKey::Upstream, subject },
                        { LogKey::Verdict, *aEvent.verdict },
                        { LogKey::Reason, reason } });
    } else if (aEvent.elapsed && aEvent.limit) {
      this->log.Write(this->timer.Now(),
                      LogLevel::Info,
                      "step",
                      aEvent.request,
                      { { LogKey::Step, aEvent.kind },
                        { LogKey::Upstream, subject },
                        { LogKey::Elapsed, *aEvent.elapsed },
                        { LogKey::Limit, *aEvent.limit } });
    } else {
      this->log.Write(
        this->timer.Now(),
        LogLevel::Info,
        "step",
        aEvent.request,
        { { LogKey::Step, aEvent.kind }, { LogKey::Upstream, subject } });
    }
    this->ring.Record(std::move(aEvent));
  }

  EventRing<SystemTimer>& Ring() { return this->ring; }

private:
  EventRing<SystemTimer> ring;
  const SystemTimer& timer;
  Log& log;
};

static_assert(EventSink<EventRecorder>);

} // namespace wigeonwalk
