#include "wigeonwalk/adapters/timeline/stamped_event.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace wigeonwalk {

std::vector<StampedEvent>
MergeTimelines(std::vector<std::vector<StampedEvent>> aTimelines)
{
  std::vector<StampedEvent> merged;
  for (auto& timeline : aTimelines) {
    std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
  }
  std::stable_sort(merged.begin(),
                   merged.end(),
                   [](const StampedEvent& aLeft, const StampedEvent& aRight) {
                     if (aLeft.stamp == aRight.stamp) {
                       return aLeft.host.Text() < aRight.host.Text();
                     }
                     return aLeft.stamp < aRight.stamp;
                   });
  return merged;
}

std::string
PrintTimeline(const std::vector<StampedEvent>& aEvents)
{
  std::ostringstream text;
  for (const auto& stamped : aEvents) {
    const Event& event = stamped.event;
    text << stamped.stamp.ToString() << "  " << stamped.host.Text() << "  "
         << (event.request.Empty() ? "-" : event.request.Text()) << "  "
         << NameOf(event.kind);
    if (!event.subject.empty()) {
      text << "  " << event.subject;
    }
    if (event.verdict) {
      text << "  " << NameOf(*event.verdict);
    }
    if (!event.detail.empty()) {
      text << "  (" << event.detail << ")";
    }
    text << '\n';
  }
  return text.str();
}

} // namespace wigeonwalk
