#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/test_settings.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Records the lines that are written.
struct LineLog
{
  struct Line
  {
    std::string event;
    std::map<LogKey, LogField::Value> fields;
  };

  void Write(TimePoint,
             LogLevel,
             StringLiteral aEvent,
             const RequestId&,
             std::initializer_list<LogField> aFields = {})
  {
    Line line{ std::string(aEvent.Text()), {} };
    for (const LogField& field : aFields) {
      line.fields[field.Key()] = field.Get();
    }
    this->lines.push_back(line);
  }

  std::vector<Line> lines;
};

} // namespace

// Guards against decisions that an on-call engineer can't find in the log.
SCENARIO("what a runner says of itself is logged once")
{
  const TimePoint now(1h);
  EntryState state(MakeSettings("front-1"));
  RoutingConfiguration configuration;
  configuration.version = 1;
  Route route;
  route.timeout = 10s;
  configuration.routes = { route };
  state.Apply(configuration, now);
  RunnerEntry entry;
  entry.id = UpstreamId("r-1");
  entry.startedAt = 100;
  state.Apply(entry, now);
  const auto runner = state.fleet.Find(entry.id);
  LineLog log;

  WHEN("it leaves")
  {
    RunnerAdvice advice;
    advice.isLeaving = true;
    ApplyAdvice(state, log, runner, advice, now);
    ApplyAdvice(state, log, runner, advice, now);
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines[0].event == "runner leaves");
    CHECK(log.lines[0].fields[LogKey::Upstream] ==
          LogField::Value(std::string("r-1")));
    CHECK(log.lines[0].fields[LogKey::Start] ==
          LogField::Value(std::int64_t(100)));
    CHECK(log.lines[0].fields[LogKey::Cause] ==
          LogField::Value(std::string("answer")));
    CHECK(log.lines[0].fields[LogKey::Limit] ==
          LogField::Value(
            std::int64_t(Duration(state.Settings().bounds.drain).count())));
  }

  WHEN("it asks for a pause")
  {
    RunnerAdvice advice;
    advice.pause = 2s;
    ApplyAdvice(state, log, runner, advice, now);
    ApplyAdvice(state, log, runner, advice, now);
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines[0].event == "runner asks for a pause");
    CHECK(log.lines[0].fields[LogKey::Start] ==
          LogField::Value(std::int64_t(100)));
    CHECK(std::get<std::int64_t>(log.lines[0].fields[LogKey::Limit]) >=
          Duration(2s).count());
  }

  WHEN("a holder that is no runner says so")
  {
    ApplyAdvice(state, log, nullptr, { true }, now);
    CHECK(log.lines.empty());
  }
}
