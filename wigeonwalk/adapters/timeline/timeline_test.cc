#include "wigeonwalk/adapters/timeline/event_ring.h"

#include "wigeonwalk/testing/virtual_time.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// A host's clock, which may be ahead of the true time.
struct SkewedClock
{
  TimePoint now;
  TimePoint Now() const { return this->now; }
};

static_assert(Clock<SkewedClock>);
static_assert(EventSink<EventRing<SkewedClock>>);

Event
MakeEvent(EventKind aKind, const char* aRequest, std::string aSubject = {})
{
  return { .kind = aKind,
           .request = RequestId(aRequest),
           .subject = std::move(aSubject) };
}

} // namespace

// Guards against a ring that grows without bound, loses the latest events or
// reorders them.
SCENARIO("a process keeps its latest events", "[timeline]")
{
  VirtualTime time;
  GIVEN("a ring of three events")
  {
    HybridClock hybrid;
    EventRing ring(time, hybrid, HostId("isar-1"), 3);
    WHEN("five are recorded")
    {
      for (const char* request : { "a", "b", "a", "b", "a" }) {
        ring.Record(MakeEvent(EventKind::RequestReceived, request));
      }
      THEN("the last three are kept in order")
      {
        const auto events = ring.Events();
        REQUIRE(events.size() == 3);
        CHECK(events[0].stamp < events[1].stamp);
        CHECK(events[1].stamp < events[2].stamp);
        CHECK(events[1].event.request == RequestId("b"));
        CHECK(events[0].event.at == time.Now());
        CHECK(ring.Dropped() == 2);
      }
      THEN("the events of one request can be selected")
      {
        CHECK(ring.Events(RequestId("a")).size() == 2);
      }
    }
    WHEN("an event has long texts")
    {
      ring.Record(MakeEvent(EventKind::RequestReceived,
                            std::string(5'000, 'r').c_str(),
                            std::string(5'000, 's')));
      THEN("they are truncated")
      {
        const Event event = ring.Events().at(0).event;
        CHECK(event.request.Text().size() == kMaxEventText);
        CHECK(event.subject.size() == kMaxEventText);
      }
    }
  }
}

// Guards against a merged timeline that shows an effect before its cause when
// the clocks of the hosts differ.
SCENARIO("an operator merges the timelines of two hosts", "[timeline]")
{
  GIVEN("a host whose clock is 4 s ahead, and one whose clock is right")
  {
    SkewedClock ahead{ TimePoint(1h + 4s) };
    SkewedClock right{ TimePoint(1h) };
    HybridClock senderClock;
    HybridClock receiverClock;
    EventRing sender(ahead, senderClock, HostId("isar-1"), 16);
    EventRing receiver(right, receiverClock, HostId("lech-1"), 16);
    WHEN("the first calls the second")
    {
      sender.Record(MakeEvent(EventKind::DirectoryLookedUp, "r"));
      receiverClock.Observe(senderClock.Stamp(ahead.Now()), right.Now());
      receiver.Record(MakeEvent(EventKind::RestoreStarted, "r", "s1"));
      const auto merged =
        MergeTimelines({ receiver.Events(), sender.Events() });
      THEN("cause precedes effect")
      {
        REQUIRE(merged.size() == 2);
        CHECK(merged[0].host == HostId("isar-1"));
        CHECK(merged[1].host == HostId("lech-1"));
      }
      THEN("the text has one line for each event")
      {
        CHECK(PrintTimeline(merged) ==
              "3604000000.0  isar-1  r  directory-looked-up\n"
              "3604000000.3  lech-1  r  restore-started  s1\n");
      }
      THEN("the Chrome trace has a process, an instant and a span for each")
      {
        const auto trace = nlohmann::json::parse(PrintChromeTrace(merged));
        std::string phases;
        for (const auto& entry : trace["traceEvents"]) {
          phases += entry["ph"].get<std::string>();
        }
        CHECK(phases == "MiMibebe");
        CHECK(trace["traceEvents"][1]["ts"] == 3'604'000'000);
      }
    }
  }
}

// Guards against events that change on the way to an operator or crash the
// operator's tool.
SCENARIO("a daemon sends its events to an operator", "[timeline]")
{
  FailureReason reason;
  GIVEN("an event with every field")
  {
    SkewedClock clock{ TimePoint(1h) };
    HybridClock hybrid;
    EventRing ring(clock, hybrid, HostId("isar-1"), 4);
    Event event = MakeEvent(EventKind::RequestFinished, "r", "u1");
    event.verdict = Verdict::MayHaveRun;
    event.detail = "cut \xC3";
    ring.Record(event);
    const std::string text = PrintTimelineJson(ring.Events());
    THEN("it arrives complete, with invalid UTF-8 replaced")
    {
      const auto events = ParseTimelineJson(text, reason);
      REQUIRE(events.has_value());
      REQUIRE(events->size() == 1);
      CHECK(events->at(0).stamp == ring.Events()[0].stamp);
      CHECK(events->at(0).event.verdict == Verdict::MayHaveRun);
      CHECK(events->at(0).event.at == clock.Now());
      CHECK(PrintTimelineJson(*events) == text);
    }
  }
  GIVEN("a response that is not a timeline")
  {
    struct Row
    {
      const char* text;
      const char* place;
    };
    const Row rows[] = {
      { "", "" },
      { "{}", "" },
      { "[1]", "/0" },
      { R"([{"kind":"first-token"}])", "/0/stamp" },
      { R"([{"stamp":"1.0","kind":"no-such"}])", "/0/kind" },
      { R"([{"stamp":"1.0","kind":7}])", "/0/kind" },
    };
    for (const auto& row : rows) {
      DYNAMIC_SECTION(row.text)
      {
        CHECK_FALSE(ParseTimelineJson(row.text, reason).has_value());
        CHECK(reason.code == ReasonCode::MalformedResponse);
        CHECK(reason.place == row.place);
      }
    }
  }
}
