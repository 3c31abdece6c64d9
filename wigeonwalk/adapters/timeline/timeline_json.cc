#include "wigeonwalk/adapters/timeline/stamped_event.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace wigeonwalk {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

std::int64_t
Microseconds(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

// Truncated texts may end in incomplete UTF-8, for which dump would throw.
template<typename J>
std::string
Dump(const J& aJson)
{
  return aJson.dump(-1, ' ', false, J::error_handler_t::replace);
}

OrderedJson
ToJson(const StampedEvent& aStamped)
{
  const Event& event = aStamped.event;
  OrderedJson json;
  json["stamp"] = aStamped.stamp.ToString();
  json["host"] = aStamped.host.Text();
  json["kind"] = std::string(NameOf(event.kind));
  json["at"] = Microseconds(event.at);
  if (!event.request.Empty()) {
    json["request"] = event.request.Text();
  }
  if (!event.subject.empty()) {
    json["subject"] = event.subject;
  }
  if (event.verdict) {
    json["verdict"] = std::string(NameOf(*event.verdict));
  }
  if (!event.detail.empty()) {
    json["detail"] = event.detail;
  }
  return json;
}

// Returns the text of a field, or an empty string if it is absent or no string.
std::string
TextOf(const Json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::optional<StampedEvent>
FromJson(const Json& aJson, const std::string& aPlace, FailureReason& aReason)
{
  if (!aJson.is_object()) {
    return Fail(
      aReason, ReasonCode::MalformedResponse, "expected an object", aPlace);
  }
  StampedEvent stamped;
  const auto stamp = ParseHybridTime(TextOf(aJson, "stamp"));
  if (!stamp) {
    return Fail(aReason,
                ReasonCode::MalformedResponse,
                "expected \"microseconds.counter\"",
                aPlace + "/stamp");
  }
  stamped.stamp = *stamp;
  const auto kind = ParseName<EventKind>(TextOf(aJson, "kind"));
  if (!kind) {
    return Fail(aReason,
                ReasonCode::MalformedResponse,
                "unknown kind of event; the daemon may run a newer version",
                aPlace + "/kind");
  }
  stamped.event.kind = *kind;
  stamped.host = HostId(TextOf(aJson, "host"));
  const auto at = aJson.find("at");
  if (at != aJson.end() && at->is_number_integer()) {
    stamped.event.at = TimePoint(Duration(at->get<std::int64_t>()));
  }
  stamped.event.request = RequestId(TextOf(aJson, "request"));
  stamped.event.subject = TextOf(aJson, "subject");
  stamped.event.verdict = ParseName<Verdict>(TextOf(aJson, "verdict"));
  stamped.event.detail = TextOf(aJson, "detail");
  return stamped;
}

// One request on one host, from its first event to its last, in microseconds.
struct Span
{
  std::int64_t first = 0;
  std::int64_t last = 0;
};

// Numbers the hosts as processes of the trace, in order of appearance, and adds
// their names to the trace.
class HostNumbers
{
public:
  explicit HostNumbers(OrderedJson& aTrace)
    : trace(aTrace)
  {
  }

  std::size_t NumberOf(const HostId& aHost)
  {
    const auto [found, isNew] =
      this->numbers.emplace(aHost.Text(), this->numbers.size() + 1);
    if (isNew) {
      this->trace.push_back({ { "name", "process_name" },
                              { "ph", "M" },
                              { "pid", found->second },
                              { "args", { { "name", aHost.Text() } } } });
    }
    return found->second;
  }

private:
  OrderedJson& trace;
  std::map<std::string, std::size_t> numbers;
};

} // namespace

std::string
PrintTimelineJson(const std::vector<StampedEvent>& aEvents)
{
  OrderedJson list = OrderedJson::array();
  for (const auto& stamped : aEvents) {
    list.push_back(ToJson(stamped));
  }
  return Dump(list);
}

std::optional<std::vector<StampedEvent>>
ParseTimelineJson(std::string_view aText, FailureReason& aReason)
{
  const Json list = Json::parse(aText, nullptr, false);
  if (!list.is_array()) {
    return Fail(aReason,
                ReasonCode::MalformedResponse,
                "expected a JSON array of events");
  }
  std::vector<StampedEvent> events;
  for (std::size_t i = 0; i < list.size(); ++i) {
    auto stamped = FromJson(list[i], "/" + std::to_string(i), aReason);
    if (!stamped) {
      return std::nullopt;
    }
    events.push_back(std::move(*stamped));
  }
  return events;
}

std::string
PrintChromeTrace(const std::vector<StampedEvent>& aEvents)
{
  OrderedJson trace = OrderedJson::array();
  HostNumbers hosts(trace);
  std::map<std::pair<std::size_t, std::string>, Span> spans;
  for (const auto& stamped : aEvents) {
    const std::size_t process = hosts.NumberOf(stamped.host);
    const std::int64_t time = Microseconds(stamped.stamp.physical);
    const std::string& request = stamped.event.request.Text();
    if (!request.empty()) {
      const auto [span, isNew] =
        spans.try_emplace({ process, request }, Span{ time, time });
      span->second.last = time;
    }
    trace.push_back({ { "name", std::string(NameOf(stamped.event.kind)) },
                      { "ph", "i" },
                      { "s", "p" },
                      { "ts", time },
                      { "pid", process },
                      { "tid", 1 },
                      { "args", ToJson(stamped) } });
  }
  for (const auto& [key, span] : spans) {
    for (const bool begin : { true, false }) {
      trace.push_back({ { "name", key.second },
                        { "cat", "request" },
                        { "ph", begin ? "b" : "e" },
                        { "id", key.second },
                        { "ts", begin ? span.first : span.last },
                        { "pid", key.first },
                        { "tid", 1 } });
    }
  }
  OrderedJson file;
  file["displayTimeUnit"] = "ms";
  file["traceEvents"] = std::move(trace);
  return Dump(file);
}

} // namespace wigeonwalk
