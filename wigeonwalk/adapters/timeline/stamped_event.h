// Timeline events with hybrid logical timestamps, which order them causally.
//
//   auto all = MergeTimelines({ isarRing.Events(), lechRing.Events() });
//   std::cout << PrintTimeline(all);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/hybrid_clock.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/ports/event_sink.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// One event, the host that recorded it, and its hybrid timestamp.
struct StampedEvent
{
  HybridTime stamp;
  HostId host;
  Event event;
};

// Returns the events of several processes in causal order. Events of one host
// keep their order.
std::vector<StampedEvent>
MergeTimelines(std::vector<std::vector<StampedEvent>> aTimelines);

// Returns one line for each event: time, host, request, kind, subject, verdict
// and detail.
std::string
PrintTimeline(const std::vector<StampedEvent>& aEvents);

// Returns a file in the Trace Event Format, which chrome://tracing and Perfetto
// open: one process for each host, one span for each request on it, and one
// instant for each event.
std::string
PrintChromeTrace(const std::vector<StampedEvent>& aEvents);

// Returns the events as a JSON array, the format in which daemons send them to
// an operator.
std::string
PrintTimelineJson(const std::vector<StampedEvent>& aEvents);

// Parses a JSON array that PrintTimelineJson printed. Unknown fields are
// ignored. Returns nullopt with MalformedResponse and the path of the element
// for an unknown kind or another error.
std::optional<std::vector<StampedEvent>>
ParseTimelineJson(std::string_view aText, FailureReason& aReason);

} // namespace wigeonwalk
